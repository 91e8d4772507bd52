/**
 * @module
 * Checks whether a process listens at an address.
 */
import { createConnection } from "node:net";

/** Result of a check. `unknown`: the address could not be reached in time. */
export type ListeningState = "listening" | "refused" | "unknown";

/** Time after which an address counts as not reachable, in milliseconds. */
const timeoutMs = 400;

/**
 * Opens a connection and closes it at once.
 *
 * @param address - "ip:port".
 * @returns What was found.
 */
export function checkListening(address: string): Promise<ListeningState> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = createConnection({ host, port: Number(port), timeout: timeoutMs });
        function end(state: ListeningState): void {
            socket.destroy();
            resolve(state);
        }
        socket.once("connect", () => end("listening"));
        socket.once("timeout", () => end("unknown"));
        socket.once(
            "error",
            (err: Error & { readonly code?: string; }) => end(err.code === "ECONNREFUSED" ? "refused" : "unknown"),
        );
    });
}
