/**
 * @module
 * Fake of a network element that loses track of connections: a TCP proxy whose open connections can go silent for good,
 * while new ones work.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** The running proxy. */
export interface SilencingProxy {
    readonly address: string;
    /** From now on nothing is forwarded on the connections that are open, not even their end. */
    readonly silenceOpen: () => void;
    readonly countConnections: () => number;
    readonly stop: () => Promise<void>;
}

interface Link {
    readonly sockets: readonly Socket[];
    isSilent: boolean;
}

function forward(link: Link, from: Socket, to: Socket): void {
    const unlessSilent = (action: () => void) => {
        if (!link.isSilent) {
            action();
        }
    };
    from.on("data", bytes => unlessSilent(() => to.write(bytes)));
    from.on("close", () => unlessSilent(() => to.destroy()));
    from.on("error", () => undefined);
}

/** Starts a proxy on loopback to an "ip:port". */
export function startSilencingProxy(target: string): Promise<SilencingProxy> {
    const [targetHost, targetPort] = target.split(":");
    const links: Link[] = [];
    const server = createServer(inner => {
        const outer = connect(Number(targetPort), targetHost);
        const link: Link = { sockets: [inner, outer], isSilent: false };
        links.push(link);
        forward(link, inner, outer);
        forward(link, outer, inner);
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            resolve({
                address: `127.0.0.1:${port}`,
                silenceOpen: () => {
                    links.forEach(link => {
                        link.isSilent = true;
                    });
                },
                countConnections: () => links.length,
                stop: () =>
                    new Promise(stopped => {
                        links.flatMap(link => link.sockets).forEach(socket => socket.destroy());
                        server.close(() => stopped());
                    }),
            });
        });
    });
}
