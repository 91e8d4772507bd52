/**
 * @module
 * Input and result of a reedwardctl command.
 */
import type { PeerClient } from "../io/peers/createPeerClient.js";
import type { ExitCode } from "./exitCodes.js";

/** Flags that commands read; undefined when not given. */
export interface CommandFlags {
    /** Whether entries that the file does not name are removed. */
    readonly prune: boolean;
    /** Offset of the catalogue that the operator compared the file with. */
    readonly base: number | undefined;
    /** Whether to wait until the change is in force at every member, or the order's effect is observed. */
    readonly wait: boolean;
    readonly changeId: string | undefined;
    readonly author: string;
    readonly model: string;
    readonly weights: string;
    readonly role: string;
    /** Whether to query which weights the engines have loaded. */
    readonly state: boolean;
    readonly undo: boolean;
    /** Log files of instances. */
    readonly logs: readonly string[];
    /** Prompt part that is no longer to be held back; empty when not given. */
    readonly lift: string;
    /** Whether to show the use of the customers' limits. */
    readonly customers: boolean;
    /** Name of a customer; empty when not given. */
    readonly customer: string;
    /** Parts of a prompt as ID:TOKENS, separated by commas; empty when not given. */
    readonly parts: string;
    /** Number of generated tokens. */
    readonly output: string;
}

/** One invocation of a command. */
export interface Invocation {
    readonly operands: readonly string[];
    readonly flags: CommandFlags;
    /** Peer address of the instance of `--address`. */
    readonly address: string;
    /** Client of the instance of `--address`. */
    readonly client: PeerClient;
    /** Creates a client of another instance from its peer address. */
    readonly connect: (address: string) => PeerClient;
    /** Waits for a time in milliseconds. */
    readonly delay: (durationMs: number) => Promise<void>;
    readonly nowMs: () => number;
}

/** Result of a command: a JSON value for scripts and lines of text. */
export interface CommandResult {
    readonly exitCode: ExitCode;
    readonly json: unknown;
    readonly lines: readonly string[];
}

/** A command. */
export interface Command {
    /** Operands as shown in the usage text. */
    readonly operands: string;
    readonly summary: string;
    /** Number of required operands. */
    readonly requiredOperands: number;
    readonly run: (invocation: Invocation) => Promise<CommandResult>;
}
