/**
 * @module
 * A crowd of clients that send what they have, read nothing, stop short and stay, and come back when they are closed.
 */
import { connect, type Socket } from "node:net";
import type { CrowdForm } from "./crowdForms.js";

/** The crowd. */
export interface Crowd {
    /** Resolves when each connection has sent all that it sends, or was closed. */
    readonly settled: () => Promise<void>;
    /** Closes all connections, which then do not come back. */
    readonly leave: () => void;
}

/** Delay before a client that was closed connects again, in milliseconds. */
const returnDelayMs = 100;

/** Sends a form, and calls `onSettled` once it is all written to the connection or the connection is closed. */
function sendForm(socket: Socket, form: CrowdForm, id: string, onSettled: () => void): void {
    let blocks = 0;
    const sendMore = () => {
        while (blocks < form.blocks && socket.writable) {
            blocks += 1;
            if (!socket.write(form.block)) {
                return;
            }
        }
        onSettled();
    };
    socket.on("drain", sendMore);
    socket.once("close", onSettled);
    socket.once("connect", () => {
        if (form.head(id) !== "") {
            socket.write(form.head(id));
        }
        sendMore();
    });
}

/**
 * Starts a crowd.
 *
 * @param address - Address and port to connect to.
 * @param size - Number of connections.
 * @param forms - What they send, by turns.
 * @returns The crowd.
 */
export function startCrowd(address: string, size: number, forms: readonly CrowdForm[]): Crowd {
    const [host, port] = address.split(":");
    const sockets = new Set<Socket>();
    const settling: Promise<void>[] = [];
    let hasLeft = false;
    let opened = 0;

    function open(member: number, onSettled: () => void): void {
        if (hasLeft) {
            onSettled();
            return;
        }
        opened += 1;
        const socket = connect(Number(port), host);
        sockets.add(socket);
        socket.pause();
        socket.on("error", () => undefined);
        // A connection that is not read shows its end only by a failed write.
        socket.once("close", () => {
            sockets.delete(socket);
            setTimeout(() => open(member, () => undefined), returnDelayMs);
        });
        sendForm(socket, forms[member % forms.length]!, `crowd-${opened}`, onSettled);
    }

    for (let member = 0; member < size; member += 1) {
        settling.push(new Promise(resolve => open(member, resolve)));
    }
    return {
        settled: async () => {
            await Promise.all(settling);
        },
        leave: () => {
            hasLeft = true;
            sockets.forEach(socket => socket.destroy());
        },
    };
}
