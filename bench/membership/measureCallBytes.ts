/**
 * @module
 * Measures on loopback how many bytes a real call between peers takes besides its JSON bodies.
 */
import { type AddressInfo, connect, createServer } from "node:net";
import type { ProbeAnswer, ProbeRequest } from "../../src/core/membership/peerMessages.js";
import { createSystemClock } from "../../src/io/clock/createSystemClock.js";
import { createPeerClients } from "../../src/io/peers/createPeerClient.js";
import { createPeerServer } from "../../src/io/peers/createPeerServer.js";
import type { CallOverhead } from "./createFleet.js";

/** Bytes of the IP and TCP headers of one segment with timestamps. */
const segmentBytes = 52;

/** Segments of a call on its own connection: open, request, answer, acknowledgements and close, by direction. */
const segmentsPerDirection = 6;

const secret = "a-secret-for-the-measurement-000";
const callTimeoutMs = 2_000;

const member = {
    instance: "entry-1",
    incarnation: 1,
    state: "alive",
    failureDomain: "bilbao-a",
    callerAddress: "10.0.0.1:8080",
    peerAddress: "10.0.0.1:8081",
} as const;

function listen(server: ReturnType<typeof createServer>): Promise<number> {
    return new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port)));
}

/** Makes one call through a relay that counts bytes, and adds the computed size of TCP and IP headers. */
export async function measureCallBytes(): Promise<CallOverhead> {
    const req: ProbeRequest = { from: member, viewHash: "0", updates: [], attachments: [] };
    const answer: ProbeAnswer = { instance: "entry-2", viewHash: "0", updates: [], attachments: [] };
    const peerServer = createPeerServer(
        {
            probe: () => answer,
            relay: () => Promise.resolve({ isReached: false }),
            listMembers: () => [],
            applyHints: () => undefined,
            limits: {
                borrow: () => undefined,
                listUse: () => [],
                readStandbyClock: () => undefined,
                acceptShards: () => false,
                returnShards: () => undefined,
            },
            exchange: () => ({ members: [], parts: [] }),
        },
        {} as Parameters<typeof createPeerServer>[1],
        {
            peerSecret: secret,
            operatorSecret: `${secret}-operator`,
            onRejected: () => undefined,
            clock: createSystemClock(),
        },
    );
    const serverPort = await listen(peerServer);
    let sent = 0;
    let received = 0;
    const relay = createServer(inbound => {
        const outbound = connect(serverPort, "127.0.0.1");
        inbound.on("data", chunk => {
            sent += chunk.length;
            outbound.write(chunk);
        });
        outbound.on("data", chunk => {
            received += chunk.length;
            inbound.write(chunk);
        });
        inbound.on("close", () => outbound.destroy());
    });
    const relayPort = await listen(relay);
    const clients = createPeerClients(secret, callTimeoutMs);
    await clients.connect(`127.0.0.1:${relayPort}`).peer.probe.mutate(req);
    await clients.close();
    relay.close();
    peerServer.close();
    peerServer.closeAllConnections();
    const tcpBytes = segmentBytes * segmentsPerDirection;
    return {
        requestBytes: sent - JSON.stringify(req).length + tcpBytes,
        answerBytes: received - JSON.stringify(answer).length + tcpBytes,
    };
}
