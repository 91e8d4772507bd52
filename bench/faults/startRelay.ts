/**
 * @module
 * A TCP relay that can discard the bytes of its open connections while new connections work.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A running relay. */
export interface Relay {
    /** "ip:port" it listens on. */
    readonly address: string;
    /** Makes the connections that are open now discard all bytes without closing. */
    readonly stallOpenConnections: () => void;
    readonly close: () => void;
}

interface SocketPair {
    readonly inbound: Socket;
    readonly outbound: Socket;
}

/**
 * Starts a relay on loopback.
 *
 * @param target - "ip:port" that it connects to.
 * @returns The relay.
 */
export async function startRelay(target: string): Promise<Relay> {
    const [host = "", port = ""] = target.split(":");
    const pairs = new Set<SocketPair>();
    const server = createServer(inbound => {
        const outbound = connect(Number(port), host);
        const pair = { inbound, outbound };
        pairs.add(pair);
        inbound.pipe(outbound);
        outbound.pipe(inbound);
        const end = () => {
            pairs.delete(pair);
            inbound.destroy();
            outbound.destroy();
        };
        for (const socket of [inbound, outbound]) {
            socket.on("error", end);
            socket.on("close", end);
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        stallOpenConnections: () => {
            for (const { inbound, outbound } of pairs) {
                inbound.unpipe(outbound);
                outbound.unpipe(inbound);
                inbound.on("data", () => undefined);
                outbound.on("data", () => undefined);
            }
        },
        close: () => {
            server.close();
            for (const { inbound, outbound } of pairs) {
                inbound.destroy();
                outbound.destroy();
            }
        },
    };
}
