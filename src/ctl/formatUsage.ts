/**
 * @module
 * The usage text of reedwardctl.
 */
import { commands } from "./commands/index.js";

const nameWidth = 24;

/**
 * Formats the usage text.
 *
 * @returns The text, with a line for each command.
 */
export function formatUsage(): string {
    const lines = [...commands].map(([name, command]) =>
        `  ${`${name} ${command.operands}`.trim().padEnd(nameWidth)} ${command.summary}`
    );
    return [
        "Usage: reedwardctl [flags] COMMAND",
        "",
        ...lines,
        "",
        "  --address IP:PORT        Peer address of any instance [REEDWARD_ADDRESS, default 127.0.0.1:8081].",
        "  --json                   Write one JSON value.",
        "  --prune                  diff, apply: remove entries that the file does not name.",
        "  --base N                 apply: refuse when an entry was changed after this base, as told by diff.",
        "  --wait                   apply, drain: wait until it is in force everywhere; order: until it is read back.",
        "  --change-id ID           apply, drain, order: repeat a change or order under its id.",
        "  --author NAME            apply, drain, order: who is named as its author [REEDWARD_AUTHOR, USER].",
        "  --model ID --weights V   order load, order unload: the weights.",
        "  --role NAME              order role: the role.",
        "  --state                  upstreams: ask the engines what they have loaded.",
        "  --customers              status: show each customer's use of its limits over the whole fleet.",
        "  --customer NAME          preview: whose request it is.",
        "  --parts ID:TOKENS,...    preview: the parts of its prompt, in order; with --model ID.",
        "  --output N               preview: tokens that it generates.",
        "  --log FILE               why: join the lines of log files, one an instance, into a time line; asks no instance.",
        "  --lift PART              quarantine: let requests with this part through again, on all instances.",
        "  --undo                   drain: take the upstream back into routing.",
        "",
        "The operator secret is read from REEDWARD_OPERATOR_SECRET.",
        "Exit codes: 0 done, 1 failed, 2 wrong usage or file, 3 conflict, 4 outcome unknown, 5 differences,",
        "6 not in force everywhere, 7 not found.",
        "",
    ].join("\n");
}
