/**
 * @module
 * Runs one command of reedwardctl.
 */
import { setTimeout as delay } from "node:timers/promises";
import { createPeerClients } from "../io/peers/createPeerClient.js";
import { commands } from "./commands/index.js";
import type { Command, CommandResult } from "./commandTypes.js";
import { type ExitCode, exitCodes } from "./exitCodes.js";
import { formatUsage } from "./formatUsage.js";
import { type CommandEnvironment, type CommandLine, parseInvocation } from "./parseInvocation.js";

/** Output streams of a command. */
export interface CommandOutput {
    readonly writeOut: (text: string) => void;
    readonly writeError: (text: string) => void;
}

const callTimeoutMs = 8_000;

async function run(command: Command, line: CommandLine): Promise<CommandResult> {
    const clients = createPeerClients(line.secret, callTimeoutMs);
    try {
        return await command.run({
            operands: line.operands,
            flags: line.flags,
            address: line.address,
            client: clients.connect(line.address),
            connect: clients.connect,
            delay: durationMs => delay(durationMs),
            nowMs: () => performance.now(),
        });
    }
    catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        return { exitCode: exitCodes.failed, json: { outcome: "failed", detail }, lines: [detail] };
    }
    finally {
        await clients.close();
    }
}

function write(result: CommandResult, isJson: boolean, output: CommandOutput): void {
    if (isJson) {
        output.writeOut(`${JSON.stringify(result.json)}\n`);
        return;
    }
    const isProblem = result.exitCode === exitCodes.failed || result.exitCode === exitCodes.wrongUsage;
    const writeLine = isProblem ? output.writeError : output.writeOut;
    result.lines.forEach(line => writeLine(`${isProblem ? "reedwardctl: " : ""}${line}\n`));
}

function refuseUsage(problem: string, output: CommandOutput): ExitCode {
    output.writeError(`reedwardctl: ${problem}\n`);
    return exitCodes.wrongUsage;
}

/**
 * Runs one command.
 *
 * @param args - Arguments after the program's name.
 * @param environment - The process's environment.
 * @param output - The output streams.
 * @returns The exit code.
 */
export async function runCommand(
    args: readonly string[],
    environment: CommandEnvironment,
    output: CommandOutput,
): Promise<ExitCode> {
    const line = parseInvocation(args, environment);
    if (line.isErr) {
        return refuseUsage(line.error, output);
    }
    if (line.value.command === "help") {
        output.writeOut(formatUsage());
        return exitCodes.done;
    }
    const command = commands.get(line.value.command);
    if (command === undefined) {
        return refuseUsage(`unknown command "${line.value.command}"; see --help`, output);
    }
    if (line.value.operands.length !== command.requiredOperands) {
        return refuseUsage(`expected: ${line.value.command} ${command.operands}`.trimEnd(), output);
    }
    const result = await run(command, line.value);
    write(result, line.value.isJson, output);
    return result.exitCode;
}
