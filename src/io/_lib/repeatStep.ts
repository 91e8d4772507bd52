/**
 * @module
 * Repeats an asynchronous step, such as one read of a feed.
 */
import type { Clock } from "../../core/time/clock.js";

/** Options of {@link repeatStep}. */
export interface RepeatStepOptions {
    readonly clock: Clock;
    readonly isStopped: () => boolean;
    /** Receives what a step threw; the repetition goes on after a delay. */
    readonly onError: (error: unknown) => void;
}

/** Delay after a step that threw, in milliseconds. */
const errorDelayMs = 300;

/**
 * Repeats a step until the repetition is stopped. A step that throws does not end it.
 *
 * @param step - The step; the next one begins when it has ended.
 * @param options - The clock, and the receiver of errors.
 * @returns A promise that is resolved when the repetition has stopped.
 * @example
 * void repeatStep(readNext, { clock, isStopped: () => isStopped, onError: logFailure });
 */
export async function repeatStep(step: () => Promise<void>, options: RepeatStepOptions): Promise<void> {
    while (!options.isStopped()) {
        try {
            await step();
        }
        catch (error) {
            options.onError(error);
            await new Promise<void>(resolve => options.clock.after(errorDelayMs, resolve));
        }
    }
}
