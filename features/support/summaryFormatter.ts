/**
 * @module
 * Prints each scenario that did not pass, then "N passed, N failed" from cucumber's own counts.
 */
import { Formatter, type IFormatterOptions, Status } from "@cucumber/cucumber";

export default class SummaryFormatter extends Formatter {
    constructor(options: IFormatterOptions) {
        super(options);
        options.eventBroadcaster.on("envelope", envelope => {
            if (envelope.testRunFinished !== undefined) {
                this.printSummary();
            }
        });
    }

    private printSummary(): void {
        let passed = 0;
        let failed = 0;
        for (const attempt of this.eventDataCollector.getTestCaseAttempts()) {
            if (attempt.willBeRetried) {
                continue;
            }
            if (attempt.worstTestStepResult.status === Status.PASSED) {
                passed += 1;
                continue;
            }
            failed += 1;
            const { status, message } = attempt.worstTestStepResult;
            this.log(`${status}: ${attempt.gherkinDocument.uri}: ${attempt.pickle.name}\n${message ?? ""}\n`);
        }
        this.log(`${passed} passed, ${failed} failed\n`);
    }
}
