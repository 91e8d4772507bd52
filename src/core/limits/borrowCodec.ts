/**
 * @module
 * Wire format of borrow messages: JSON arrays without field names, fractions as integers in ten-thousandths.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";
import type { BorrowRequest, BorrowResponse } from "./quotaTypes.js";

const count = z.number().int().min(0);
const name = z.string().min(1).max(64);
const fractionScale = 10_000;
const maxItems = 64;

const requestSchema = z.tuple([
    name,
    name,
    count,
    z.array(z.tuple([name, count.max(fractionScale), count])).max(maxItems),
]);
const responseSchema = z.tuple([
    count,
    z.array(z.tuple([count.max(fractionScale), count, count, count, count])).max(maxItems),
]);

/**
 * Encodes a request to borrow quota.
 *
 * @param req - The request; its fractions are integral ten-thousandths.
 * @returns The text to send.
 * @example
 * encodeBorrowRequest(req).length;
 */
export function encodeBorrowRequest(req: BorrowRequest): string {
    const items = req.items.map(item => [item.customer, Math.round(item.fraction * fractionScale), item.permits]);
    return JSON.stringify([req.instance, req.incarnation, req.sequence, items]);
}

/**
 * Decodes a request to borrow quota.
 *
 * @param payload - The received text.
 * @returns The request; undefined when it is malformed.
 * @example
 * decodeBorrowRequest(encodeBorrowRequest(req))?.sequence === req.sequence; // true
 */
export function decodeBorrowRequest(payload: string): BorrowRequest | undefined {
    const parsed = parseJson(requestSchema, payload);
    if (parsed === undefined) {
        return undefined;
    }
    const [instance, incarnation, sequence, tuples] = parsed;
    const items = tuples.map(([customer, scaledFraction, permits]) => ({
        customer,
        fraction: scaledFraction / fractionScale,
        permits,
    }));
    return { instance, incarnation, sequence, items };
}

/**
 * Encodes a response; its grants are in the order of the request's items.
 *
 * @param response - The response.
 * @returns The text to send.
 * @example
 * encodeBorrowResponse(response).length;
 */
export function encodeBorrowResponse(response: BorrowResponse): string {
    const grants = response.grants.map(({ fraction, permits, amounts }) => [
        Math.round(fraction * fractionScale),
        permits,
        amounts.requests,
        amounts.promptTokens,
        amounts.outputTokens,
    ]);
    return JSON.stringify([response.sequence, grants]);
}

/**
 * Decodes a response.
 *
 * @param payload - The received text.
 * @param req - The request that it answers.
 * @returns The response; undefined when it is malformed or does not fit the request.
 * @example
 * decodeBorrowResponse(payload, req)?.grants.length;
 */
export function decodeBorrowResponse(payload: string, req: BorrowRequest): BorrowResponse | undefined {
    const parsed = parseJson(responseSchema, payload);
    if (parsed === undefined || parsed[0] !== req.sequence || parsed[1].length !== req.items.length) {
        return undefined;
    }
    const grants = parsed[1].map(([scaledFraction, permits, requests, promptTokens, outputTokens], index) => ({
        customer: req.items[index]!.customer,
        fraction: scaledFraction / fractionScale,
        permits,
        amounts: { requests, promptTokens, outputTokens },
    }));
    return { sequence: parsed[0], grants };
}
