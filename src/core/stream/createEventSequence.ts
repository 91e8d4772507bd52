/**
 * @module
 * Checks that the events of a stream go on after an event that was delivered before.
 */

/** The check of one stream. */
export interface EventSequence {
    /** Takes complete events; returns false when one of them does not go on after the events before it. */
    readonly accept: (events: Uint8Array) => boolean;
}

const idField = "id:";
const commentStart = ":";
const decimal = /^\d+$/;
const leadingZeros = /^0+(?=\d)/;

/** Lines of an event stream end with CRLF, LF or CR. */
const lineEnd = /\r\n|\n|\r/;

/** Returns the id of each event in order; undefined for one without an id. */
function listEventIds(events: Uint8Array): readonly (string | undefined)[] {
    const ids: (string | undefined)[] = [];
    let hasField = false;
    let id: string | undefined;
    for (const line of new TextDecoder().decode(events).split(lineEnd)) {
        if (line === "") {
            if (hasField) {
                ids.push(id);
            }
            hasField = false;
            id = undefined;
        }
        else if (!line.startsWith(commentStart)) {
            hasField = true;
            id = line.startsWith(idField) ? line.slice(idField.length).trim() : id;
        }
    }
    return ids;
}

/** Returns whether an id is known to be later than another: both are decimal numbers, of any length. */
function isLater(id: string, other: string): boolean {
    if (!decimal.test(id) || !decimal.test(other)) {
        return false;
    }
    const [digits, otherDigits] = [id.replace(leadingZeros, ""), other.replace(leadingZeros, "")];
    return digits.length === otherDigits.length ? digits > otherDigits : digits.length > otherDigits.length;
}

/**
 * Creates the check. Ids increase within a stream: an event whose id does not belongs to another run. An event without an
 * id goes on only after one with an id in the same stream.
 *
 * @param lastEventId - Id of the last event that was delivered before; undefined when no event was.
 * @returns The check.
 * @example
 * createEventSequence("2").accept(new TextEncoder().encode("id: 0\ndata: a\n\n")); // false
 */
export function createEventSequence(lastEventId: string | undefined): EventSequence {
    let last = lastEventId;
    let hasAccepted = lastEventId === undefined;

    function acceptId(id: string | undefined): boolean {
        const goesOn = id === undefined ? hasAccepted : last === undefined || isLater(id, last);
        hasAccepted ||= goesOn;
        last = id ?? last;
        return goesOn;
    }

    return { accept: events => listEventIds(events).every(acceptId) };
}
