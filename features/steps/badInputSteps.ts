/**
 * @module
 * Steps that send bad input over raw sockets.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect } from "node:net";
import type { SiteWorld } from "../support/siteWorld.js";

interface RawRequest {
    readonly method?: string;
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Value of the content-length header, when it differs from the body's length. */
    readonly declaredLength?: number;
}

const goodBody = JSON.stringify({ model: "easy-read", messages: [{ role: "user", content: "p" }] });
const authorization = "Bearer clinic:secret-clinic";

function createManyHeaders(count: number): Record<string, string> {
    return Object.fromEntries(Array.from({ length: count }, (_, index) => [`x-extra-${index}`, "1"]));
}

const badRequests: Readonly<Record<string, RawRequest>> = {
    "an oversized body": { body: "x".repeat(70_000) },
    "broken JSON": { body: "{" },
    "a body without messages": { body: JSON.stringify({ model: "easy-read" }) },
    "an unknown model": { body: goodBody.replace("easy-read", "no-such-model") },
    "an unknown customer": { headers: { authorization: "Bearer nobody:secret" } },
    "a wrong credential": { headers: { authorization: "Bearer clinic:wrong" } },
    "a non-idempotent call without key": { path: "/services/booking/confirmations" },
    "a malformed idempotency key": { headers: { "idempotency-key": "a b" } },
    "a malformed deadline": { headers: { "x-deadline-ms": "soon" } },
    "too many headers": { headers: createManyHeaders(80) },
    "too long headers": { headers: { "x-long": "x".repeat(20_000) } },
    "a body that never ends": { declaredLength: 5_000 },
    "an unknown path": { path: "/v2/chat" },
    "an unknown service": { path: "/services/ferries/list" },
};

function formatRequest(raw: RawRequest): string {
    const body = raw.body ?? goodBody;
    const headers: Record<string, string> = {
        host: "entry",
        connection: "close",
        authorization,
        "content-length": String(raw.declaredLength ?? body.length),
        ...raw.headers,
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `${raw.method ?? "POST"} ${raw.path ?? "/v1/chat/completions"} HTTP/1.1\r\n${lines}\r\n${body}`;
}

function exchangeRaw(address: string, text: string): Promise<string> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        let answer = "";
        const socket = connect(Number(port), host, () => socket.write(text));
        socket.on("data", chunk => {
            answer += chunk.toString();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(answer));
    });
}

When(/^the caller sends (.+)$/, async function(this: SiteWorld, name: string) {
    const raw = badRequests[name];
    assert.ok(raw !== undefined, `no request named "${name}"`);
    const text = await exchangeRaw(this.site!.daemons[0]!.callerAddress(), formatRequest(raw));
    this.answer = { status: Number(text.split(" ")[1]), text, headers: undefined };
});

Then("nothing was run", function(this: SiteWorld) {
    assert.equal(this.site!.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 0);
    assert.equal(this.site!.service.runs.size, 0);
});
