/**
 * @module
 * Ties a caller server's requests and connections to the daemon's life.
 */
import type { Server } from "node:http";
import type { Lifecycle } from "../../core/lifecycle/createLifecycle.js";

/**
 * Counts every request until its answer is closed. Once the instance leaves, each answer asks the caller to close its
 * connection, so that no connection is closed while the caller sends on it.
 *
 * @param server - The caller server; its request handlers must be set later than this.
 * @param lifecycle - The daemon's life.
 */
export function trackConnections(server: Server, lifecycle: Lifecycle): void {
    server.prependListener("request", (req, res) => {
        const done = lifecycle.trackRequest(`${req.method ?? ""} ${req.url ?? ""}`);
        res.once("close", done);
        if (lifecycle.state() === "leaving" || lifecycle.state() === "draining") {
            res.setHeader("connection", "close");
        }
    });
}
