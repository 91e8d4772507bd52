/**
 * @module
 * Answers requests by their path.
 */
import type { RequestListener, ServerResponse } from "node:http";
import polka from "polka";

/** Answers by path. */
export type PathRoutes = Readonly<Record<string, (url: URL, res: ServerResponse) => void>>;

/**
 * Creates a listener.
 *
 * @param routes - Answers to GET by path.
 * @param removals - Answers to DELETE by path.
 * @returns The listener; other requests get 404.
 */
export function createPathListener(routes: PathRoutes, removals: PathRoutes = {}): RequestListener {
    const app = polka();
    for (const [path, answer] of Object.entries(routes)) {
        app.get(path, (req, res) => answer(new URL(req.url ?? "", "http://instance"), res));
    }
    for (const [path, answer] of Object.entries(removals)) {
        app.delete(path, (req, res) => answer(new URL(req.url ?? "", "http://instance"), res));
    }
    return app.handler as unknown as RequestListener;
}
