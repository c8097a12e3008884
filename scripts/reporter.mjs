/**
 * Mocha reporter: the usual listing, closed by one plain line with the counts.
 */
import Mocha from "mocha";

export default class CountingReporter extends Mocha.reporters.Spec {
    epilogue() {
        super.epilogue();
        const { passes, failures, pending } = this.stats;
        console.log(`${passes} passed, ${failures} failed${pending > 0 ? `, ${pending} skipped` : ""}`);
    }
}
