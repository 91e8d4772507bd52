/**
 * @module
 * Stand-ins of peers, which report a newer configuration than any instance has, so that their state is asked for.
 */
import { createSocket } from "node:dgram";
import type { Heartbeat } from "../../../src/core/fleet/heartbeat.js";

/** Options of {@link startStandInPeers}. */
export interface StandInPeersOptions {
    readonly count: number;
    /** Address at which their state is asked for, as "ip:port". */
    readonly peerAddress: string;
    /** Address for heartbeats of the instance that hears of them, as "ip:port". */
    readonly instanceAddress: string;
}

const heartbeatIntervalMs = 200;
const newerTableVersion = 1_000;

/** An address at which nobody listens. */
const unusedAddress = "127.0.0.1:1";

/** Starts the stand-ins, and returns a function that stops them. */
export function startStandInPeers(options: StandInPeersOptions): () => void {
    const { count, peerAddress, instanceAddress } = options;
    const [host, port] = instanceAddress.split(":");
    const startedAtMs = Date.now();
    const socket = createSocket("udp4");
    const describe = (index: number): Heartbeat => ({
        from: {
            name: `stand-in-${index}`,
            startedAtMs,
            failureDomain: "north",
            callerAddress: unusedAddress,
            peerAddress,
            heartbeatAddress: `127.0.0.1:${2 + index}`,
            state: "starting",
        },
        tableVersion: newerTableVersion,
        storeAgeMs: 0,
        named: [],
        uses: [],
        loading: [],
        loaded: [],
        known: [],
        ages: "",
    });
    const timer = setInterval(() => {
        for (let index = 0; index < count; index += 1) {
            socket.send(JSON.stringify(describe(index)), Number(port), host, () => undefined);
        }
    }, heartbeatIntervalMs);
    return () => {
        clearInterval(timer);
        socket.close();
    };
}
