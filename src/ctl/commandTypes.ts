/**
 * @module
 * What a command of reedwardctl takes and gives.
 */
import type { PeerClient } from "../io/peers/createPeerClient.js";
import type { ExitCode } from "./exitCodes.js";

/** Flags that commands read; undefined when not given. */
export interface CommandFlags {
    /** Whether entries that the file does not name are removed. */
    readonly prune: boolean;
    /** Offset of the catalogue that the operator looked at. */
    readonly base: number | undefined;
    /** Whether to wait until every member follows. */
    readonly wait: boolean;
    readonly changeId: string | undefined;
    readonly author: string;
    readonly model: string;
    readonly weights: string;
    readonly role: string;
    /** Whether to read back what the engines have loaded. */
    readonly state: boolean;
    readonly undo: boolean;
    /** Log files of instances. */
    readonly logs: readonly string[];
    /** Whether to show the use of the customers' limits. */
    readonly customers: boolean;
}

/** One invocation of a command. */
export interface Invocation {
    readonly operands: readonly string[];
    readonly flags: CommandFlags;
    /** The asked instance. */
    readonly client: PeerClient;
    /** Another instance by its peer address. */
    readonly connect: (address: string) => PeerClient;
    /** Waits, in milliseconds. */
    readonly delay: (durationMs: number) => Promise<void>;
    readonly nowMs: () => number;
}

/** What a command came to: one JSON value for scripts and lines for people. */
export interface CommandResult {
    readonly exitCode: ExitCode;
    readonly json: unknown;
    readonly lines: readonly string[];
}

/** A command. */
export interface Command {
    /** Operands as they stand in the usage text. */
    readonly operands: string;
    readonly summary: string;
    /** Operands that must be given. */
    readonly requiredOperands: number;
    readonly run: (invocation: Invocation) => Promise<CommandResult>;
}
