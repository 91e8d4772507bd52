/**
 * @module
 * Validates the body of a model request.
 */
import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";
import { parseJsonValue } from "../_lib/parseJsonValue.js";
import { createRefusal, type Refusal } from "../errors/createRefusal.js";

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() });

const chatSchema = z.looseObject({
    model: z.string(),
    messages: z.array(z.looseObject({ role: z.string(), content: z.union([z.string(), z.array(contentPart)]) })).min(1),
    max_tokens: z.number().int().positive().optional(),
    max_completion_tokens: z.number().int().positive().optional(),
    stream: z.boolean().optional(),
});

const completionSchema = z.looseObject({
    model: z.string(),
    prompt: z.string(),
    max_tokens: z.number().int().positive().optional(),
    stream: z.boolean().optional(),
});

/** The validated fields of a model request's body. */
export interface ModelBody {
    readonly model: string;
    readonly prompt: string;
    /** Maximum number of tokens to generate. */
    readonly maxOutputTokens: number;
    readonly isStreaming: boolean;
    /** The body as received. */
    readonly body: Readonly<Record<string, unknown>>;
}

/** Maximum number of tokens to generate when the caller gives no limit. */
const defaultMaxOutputTokens = 1024;

type ChatContent = z.infer<typeof chatSchema>["messages"][number]["content"];

function readContent(content: ChatContent): string {
    return typeof content === "string" ? content : content.map(part => part.text ?? "").join("\n");
}

function describeIssue(error: z.ZodError): string {
    const issue = error.issues[0];
    return `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`;
}

function parseJson(text: string): unknown {
    try {
        return parseJsonValue(text);
    }
    catch {
        return undefined;
    }
}

function parseChat(value: unknown): Result<ModelBody, Refusal> {
    const parsed = chatSchema.safeParse(value);
    if (!parsed.success) {
        return err(createRefusal("malformedRequest", describeIssue(parsed.error)));
    }
    const body = parsed.data;
    const prompt = body.messages.map(message => `${message.role}\n${readContent(message.content)}\n`).join("");
    const maxOutputTokens = body.max_completion_tokens ?? body.max_tokens ?? defaultMaxOutputTokens;
    return ok({ model: body.model, prompt, maxOutputTokens, isStreaming: body.stream ?? false, body });
}

function parseCompletion(value: unknown): Result<ModelBody, Refusal> {
    const parsed = completionSchema.safeParse(value);
    if (!parsed.success) {
        return err(createRefusal("malformedRequest", describeIssue(parsed.error)));
    }
    const body = parsed.data;
    const maxOutputTokens = body.max_tokens ?? defaultMaxOutputTokens;
    return ok({ model: body.model, prompt: body.prompt, maxOutputTokens, isStreaming: body.stream ?? false, body });
}

/**
 * Parses and validates the body of a model request.
 *
 * @param path - Path of the request, which determines the schema.
 * @param text - The body.
 * @returns The validated body, or a `malformedRequest` refusal that names the field.
 * @example
 * parseModelBody("/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}").isOk; // true
 */
export function parseModelBody(
    path: "/v1/chat/completions" | "/v1/completions",
    text: string,
): Result<ModelBody, Refusal> {
    const value = parseJson(text);
    if (value === undefined) {
        return err(createRefusal("malformedRequest", "the body is not JSON"));
    }
    return path === "/v1/chat/completions" ? parseChat(value) : parseCompletion(value);
}
