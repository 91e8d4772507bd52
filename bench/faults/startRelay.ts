/**
 * @module
 * A socket relay that can swallow the bytes of its open connections while new connections work.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A running relay. */
export interface Relay {
    /** "ip:port" it listens on. */
    readonly address: string;
    /** From now on, the connections that are open carry no more bytes and are not closed. */
    readonly silenceOpenConnections: () => void;
    readonly close: () => void;
}

interface Pair {
    readonly near: Socket;
    readonly far: Socket;
}

/**
 * Starts a relay on loopback.
 *
 * @param target - "ip:port" that it connects to.
 * @returns The relay.
 */
export async function startRelay(target: string): Promise<Relay> {
    const [host = "", port = ""] = target.split(":");
    const pairs = new Set<Pair>();
    const server = createServer(near => {
        const far = connect(Number(port), host);
        const pair = { near, far };
        pairs.add(pair);
        near.pipe(far);
        far.pipe(near);
        const end = () => {
            pairs.delete(pair);
            near.destroy();
            far.destroy();
        };
        for (const socket of [near, far]) {
            socket.on("error", end);
            socket.on("close", end);
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        silenceOpenConnections: () => {
            for (const { near, far } of pairs) {
                near.unpipe(far);
                far.unpipe(near);
                near.on("data", () => undefined);
                far.on("data", () => undefined);
            }
        },
        close: () => {
            server.close();
            for (const { near, far } of pairs) {
                near.destroy();
                far.destroy();
            }
        },
    };
}
