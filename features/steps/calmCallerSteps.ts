/**
 * @module
 * Steps on callers within the limits, at a process without a crowd.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { streamHeaders } from "../support/platformFixture.js";
import type { SiteWorld } from "../support/siteWorld.js";
import { crowdedProcesses } from "../support/startCrowdedProcess.js";

/** What each of the callers of a scenario received. */
const received = new WeakMap<SiteWorld, readonly string[]>();
const bytesPerKilobyte = 1_024;

/** Formats a request with a body in one chunk, whose connection closes after the answer. */
function formatSlowRequest(bodyBytes: number): string {
    const { host, authorization } = streamHeaders;
    const head = [
        "POST /documents/slow HTTP/1.1",
        `Host: ${host}`,
        "Attempt-Id: slow",
        `Authorization: ${authorization}`,
        "Connection: close",
        "Transfer-Encoding: chunked",
    ];
    return `${head.join("\r\n")}\r\n\r\n${bodyBytes.toString(16)}\r\n${"b".repeat(bodyBytes)}\r\n0\r\n\r\n`;
}

When(
    "a slow caller sends {int} KB in {int} pieces, {int} ms apart",
    async function(this: SiteWorld, kilobytes: number, pieces: number, pauseMs: number) {
        const [host, port] = crowdedProcesses.get(this)!.instance.callerAddress.split(":");
        let answer = "";
        const bytes = Buffer.from(formatSlowRequest(kilobytes * bytesPerKilobyte));
        const socket = connect(Number(port), host);
        this.cleanups.unshift(() => void socket.destroy());
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.on("error", () => undefined);
        socket.on("data", (piece: Buffer) => {
            answer += piece.toString("latin1");
        });
        const pieceBytes = Math.ceil(bytes.length / pieces);
        for (let start = 0; start < bytes.length; start += pieceBytes) {
            socket.write(bytes.subarray(start, start + pieceBytes));
            await delay(pauseMs);
        }
        await closed;
        received.set(this, [answer]);
    },
);

Then("this caller is answered with the upstream's answer", function(this: SiteWorld) {
    const [answer = ""] = received.get(this) ?? [];
    assert.match(answer, /^HTTP\/1\.1 200 [^]*ordinary/);
});

/** Formats a request with a body of a stated length. */
function formatRequest(id: string, body: string, path = "documents"): string {
    const { host, authorization } = streamHeaders;
    const head = [
        `POST /${path}/${id} HTTP/1.1`,
        `Host: ${host}`,
        `Attempt-Id: ${id}`,
        `Authorization: ${authorization}`,
        `Content-Length: ${body.length}`,
    ];
    return `${head.join("\r\n")}\r\n\r\n${body}`;
}

/** Sends bytes on a connection of their own; returns what it received until so many answers came, or it was closed. */
function exchange(world: SiteWorld, bytes: string, answers: number): Promise<string> {
    const [host, port] = crowdedProcesses.get(world)!.instance.callerAddress.split(":");
    const socket = connect(Number(port), host);
    world.cleanups.unshift(() => void socket.destroy());
    let text = "";
    return new Promise(resolve => {
        const finish = () => resolve(text);
        socket.on("error", finish);
        socket.on("close", finish);
        socket.on("data", (piece: Buffer) => {
            text += piece.toString("latin1");
            if (text.split("HTTP/1.1 ").length > answers) {
                finish();
            }
        });
        socket.write(bytes);
    });
}

When(
    "{int} callers upload {int} KB each in lines of {int} bytes at once",
    async function(this: SiteWorld, callers: number, kilobytes: number, lineBytes: number) {
        const body = `${"l".repeat(lineBytes - 1)}\n`.repeat(Math.ceil(kilobytes * bytesPerKilobyte / lineBytes));
        const calls = Array.from(
            { length: callers },
            (_, index) => exchange(this, formatRequest(`up-${index}`, body), 1),
        );
        received.set(this, await Promise.all(calls));
    },
);

When(
    "{int} callers send {int} short requests each on one connection at once",
    async function(this: SiteWorld, callers: number, count: number) {
        const calls = Array.from({ length: callers }, (_, index) => {
            const requests = [...Array(count).keys()].map(number => formatRequest(`p-${index}-${number}`, "b"));
            return exchange(this, requests.join(""), count);
        });
        received.set(this, await Promise.all(calls));
    },
);

When(
    "a caller sends a body of {int} bytes on an unknown route and a request behind it",
    async function(this: SiteWorld, bodyBytes: number) {
        const refused = formatRequest("refused", "b".repeat(bodyBytes), "unknown");
        received.set(this, [await exchange(this, `${refused}${formatRequest("next", "b")}`, 2)]);
    },
);

Then(/^each of them has (\d+) answers? "([\d|]+)"$/, function(this: SiteWorld, count: string, statuses: string) {
    const pattern = new RegExp(`HTTP/1\\.1 (?:${statuses}) `, "g");
    const answers = (received.get(this) ?? []).map(text => text.match(pattern)?.length ?? 0);
    const isShort = (answered: number) => answered !== Number(count);
    assert.ok(!answers.some(isShort), `${answers.filter(isShort).length} callers: ${answers.join(" ")}`);
});
