/**
 * @module
 * What placement knows of a request and of the upstreams that could run it.
 */

/** One shared or own part of a prompt, in the prompt's order. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** The prompt of a model request, known by its parts. */
export interface Prompt {
    readonly model: string;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Expected number of tokens that are generated. */
    readonly outputTokens: number;
}

/** Tokens and requests that are at work at one upstream. */
export interface UpstreamUse {
    readonly requests: number;
    /** Memory that the requests' prompts and answers take, in tokens. */
    readonly memoryTokens: number;
    /** Prompt tokens of requests whose answer has not begun. */
    readonly unreadTokens: number;
}

/** One upstream that may run a request. */
export interface PlacementCandidate {
    readonly id: string;
    /** Use by all instances, as far as known. */
    readonly use: UpstreamUse;
    /** Memory that peers have probably taken since they told their use, in tokens. */
    readonly unreportedTokens: number;
    /** Requests that it runs at once. */
    readonly slots: number;
    /** Memory of an engine in tokens; undefined for a plain service. */
    readonly memoryTokens: number | undefined;
    /** Prompt tokens that it would have to read for this request. */
    readonly prefillTokens: number;
    /** Memory that the request would take there, in tokens. */
    readonly neededTokens: number;
    /** Whether it runs older weights than named. */
    readonly isOutdated: boolean;
    /** Whether it is in the instance's failure domain. */
    readonly isSameFailureDomain: boolean;
}
