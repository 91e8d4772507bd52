/**
 * @module
 * Fake upstream that answers a request as soon as it has read the head.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { sized } from "./answerForms.js";

/** Options of {@link startEarlyUpstream}. */
export interface EarlyUpstreamOptions {
    /** Bytes of the answer. */
    readonly answer: string;
    /** Whether the body is read while it is answered. */
    readonly isRead: boolean;
    /** What happens to the connection once the answer is written. */
    readonly end: (socket: Socket) => void;
}

/** The running fake. */
export interface EarlyUpstream {
    readonly address: string;
    /** Number of connections that have carried requests. */
    readonly countConnections: () => number;
    /** Reads the connection of an answered request on; returns all its bytes once they end with the given ones. */
    readonly readOn: (last: string) => Promise<Buffer>;
    readonly stop: () => Promise<void>;
}

/** Id of a request that is read and answered as a whole, so that its connection is kept. */
export const keptRequestId = "kept";

const keptAnswer = `HTTP/1.1 200 OK\r\nAttempt-Id: ${keptRequestId}\r\nServer-Seal: s\r\n${sized("kept")}\r\nkept`;

/** Returns the length of a request whose head has arrived; undefined before. */
function findLength(text: string): number | undefined {
    const headEnd = text.indexOf("\r\n\r\n");
    const stated = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    return headEnd === -1 ? undefined : headEnd + "\r\n\r\n".length + stated;
}

/** Starts the fake. */
export function startEarlyUpstream({ answer, isRead, end }: EarlyUpstreamOptions): Promise<EarlyUpstream> {
    const sockets = new Set<Socket>();
    const carriers = new Set<Socket>();
    /** What was read of requests that were answered early. */
    const received = new Map<Socket, string>();

    function answerEarly(socket: Socket): void {
        socket.removeAllListeners("data");
        if (isRead) {
            socket.resume();
        }
        else {
            socket.pause();
        }
        socket.write(answer, () => end(socket));
    }

    async function readOn(last: string): Promise<Buffer> {
        const [socket, head] = [...received][0]!;
        const chunks: Buffer[] = [Buffer.from(head, "latin1")];
        await new Promise<void>(resolve => {
            socket.on("data", (bytes: Buffer) => {
                chunks.push(bytes);
                if (bytes.toString("latin1").endsWith(last)) {
                    resolve();
                }
            });
            socket.resume();
        });
        return Buffer.concat(chunks);
    }

    const server = createServer({ allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        let text = "";
        socket.on("data", bytes => {
            text += bytes.toString("latin1");
            const length = findLength(text);
            const requestId = /^attempt-id: (\S+)/im.exec(text)?.[1];
            if (length === undefined || requestId === undefined) {
                return;
            }
            carriers.add(socket);
            if (requestId !== keptRequestId) {
                received.set(socket, text);
                answerEarly(socket);
            }
            else if (text.length === length) {
                text = "";
                socket.write(keptAnswer);
            }
        });
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            resolve({
                address: `127.0.0.1:${port}`,
                countConnections: () => carriers.size,
                readOn,
                stop: () =>
                    new Promise(stopped => {
                        sockets.forEach(socket => socket.destroy());
                        server.close(() => stopped());
                    }),
            });
        });
    });
}
