/**
 * @module
 * Lets an HTTP server accept connections without reading requests on them for a while.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** The gate before a server. */
export interface ConnectionGate {
    /** Holds back the connections that are accepted from now on; the returned function lets the server read them. */
    readonly hold: () => () => void;
}

const ignoreError = () => undefined;

/**
 * Puts an open gate before a server that has no listeners of connections other than its own.
 *
 * @param server - The server.
 * @returns The gate.
 */
export function createConnectionGate(server: Server): ConnectionGate {
    const serve = server.listeners("connection");
    const held = new Set<Socket>();
    let holds = 0;
    server.removeAllListeners("connection");

    function admit(socket: Socket): void {
        serve.forEach(listener => {
            listener.call(server, socket);
        });
    }

    function release(): void {
        holds -= 1;
        if (holds > 0) {
            return;
        }
        for (const socket of held) {
            socket.off("error", ignoreError);
            if (!socket.destroyed) {
                admit(socket);
            }
        }
        held.clear();
    }

    server.on("connection", (socket: Socket) => {
        if (holds === 0) {
            admit(socket);
            return;
        }
        // The server handles errors of the connections that it reads.
        socket.on("error", ignoreError);
        held.add(socket);
    });
    return {
        hold: () => {
            holds += 1;
            return release;
        },
    };
}
