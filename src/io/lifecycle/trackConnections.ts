/**
 * @module
 * Counts requests of callers for the daemon's lifecycle, and asks callers to close connections on shutdown.
 */
import type { Server } from "node:http";
import type { Lifecycle } from "../../core/lifecycle/createLifecycle.js";
import { onResponseOver } from "../http/_lib/onResponseOver.js";

/**
 * Counts every request until its answer is closed. Once the instance shuts down, each answer asks the caller to close
 * its connection, so that no connection is closed while the caller sends on it.
 *
 * @param server - The server for callers; its request handlers must be added after this call.
 * @param lifecycle - Lifecycle of the daemon.
 */
export function trackConnections(server: Server, lifecycle: Pick<Lifecycle, "state" | "trackRequest">): void {
    server.prependListener("request", (req, res) => {
        const done = lifecycle.trackRequest(`${req.method ?? ""} ${req.url ?? ""}`);
        onResponseOver(res, done);
        if (lifecycle.state() === "leaving" || lifecycle.state() === "draining") {
            res.setHeader("connection", "close");
        }
    });
}
