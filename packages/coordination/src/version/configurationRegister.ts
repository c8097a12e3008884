/**
 * Plans and confirmed configurations. Part of the replicated state.
 */
import {
    type Configuration,
    configurationSchema,
    type ConfirmResult,
    emptyConfiguration,
    type Plan,
    type PlanResult,
    planSchema,
} from "@crankfork/schemas";
import * as z from "zod";

/** Plans kept; the oldest that is not the one in force goes first. */
const MAX_PLANS = 200;
/** Confirmed changes kept for `crankfork config history`. */
const MAX_HISTORY_ENTRIES = 1_000;

const historyEntrySchema = z.object({
    version: z.int(),
    intent_id: z.string(),
    plan_id: z.string(),
    confirmed_ms: z.number(),
    differences: z.array(z.string()),
});

/** Schema of plans and configurations in a snapshot. */
export const configurationStateSchema = z.object({
    configuration: configurationSchema,
    plans: z.array(z.object({ plan: planSchema, confirmed_version: z.int().optional() })),
    history: z.array(historyEntrySchema),
});

/** One confirmed change. */
export type HistoryEntry = z.infer<typeof historyEntrySchema>;
type ConfigurationState = z.infer<typeof configurationStateSchema>;
type PlanRecord = ConfigurationState["plans"][number];

/** The configuration in force, what led to it, and plans that may follow it. */
export class ConfigurationRegister {
    private configuration: Configuration = emptyConfiguration;
    private plansByIntent = new Map<string, PlanRecord>();
    private history: HistoryEntry[] = [];

    /**
     * Gets what is in force.
     * @returns the confirmed configuration
     */
    getConfiguration(): Configuration {
        return this.configuration;
    }

    /**
     * Gets the confirmed changes.
     * @returns the changes, oldest first
     */
    getHistory(): readonly HistoryEntry[] {
        return this.history;
    }

    /**
     * Gets a plan.
     * @param id - the plan
     * @returns the plan, or undefined where it is not kept
     */
    getPlan(id: string): Plan | undefined {
        return [...this.plansByIntent.values()].find(({ plan }) => plan.id === id)?.plan;
    }

    /**
     * Records a plan. The same intent gets the plan it got before, unless that plan can't be confirmed any more.
     * @param plan - the plan made now
     * @returns the plan that holds for the intent
     */
    recordPlan(plan: Plan): PlanResult {
        const known = this.plansByIntent.get(plan.intent_id);
        if (known !== undefined && known.plan.digest !== plan.digest) {
            return { kind: "intent-reused", intentId: plan.intent_id };
        }
        const isUsable = known !== undefined
            && (known.confirmed_version !== undefined || known.plan.base_version === this.configuration.version);
        if (isUsable) {
            return { kind: "planned", plan: known.plan, confirmedVersion: known.confirmed_version };
        }
        this.plansByIntent.delete(plan.intent_id);
        this.plansByIntent.set(plan.intent_id, { plan });
        this.removeOldPlans();
        return { kind: "planned", plan, confirmedVersion: undefined };
    }

    /**
     * Confirms a plan where nothing was confirmed since it was made.
     * @param planId - the plan
     * @param atMs - wall clock of the leader
     * @returns the version it gave, also when asked again; or what moved
     */
    confirmPlan(planId: string, atMs: number): ConfirmResult {
        const row = [...this.plansByIntent.values()].find(({ plan }) => plan.id === planId);
        if (row === undefined) {
            return { kind: "unknown-plan" };
        }
        if (row.confirmed_version !== undefined) {
            return { kind: "confirmed", version: row.confirmed_version, isRepeat: true };
        }
        if (row.plan.base_version !== this.configuration.version) {
            return this.describeConflict(row.plan.base_version);
        }
        const version = this.configuration.version + 1;
        this.configuration = { ...row.plan.configuration, version };
        this.plansByIntent.set(row.plan.intent_id, { ...row, confirmed_version: version });
        this.history = [...this.history, createHistoryEntry(row.plan, version, atMs)].slice(-MAX_HISTORY_ENTRIES);
        return { kind: "confirmed", version, isRepeat: false };
    }

    /**
     * Gets everything as plain data.
     * @returns configuration, plans and history
     */
    getState(): ConfigurationState {
        return { configuration: this.configuration, plans: [...this.plansByIntent.values()], history: this.history };
    }

    /**
     * Puts a state from a snapshot in the place of the present one.
     * @param state - configuration, plans and history
     */
    restore(state: ConfigurationState): void {
        this.configuration = state.configuration;
        this.plansByIntent = new Map(state.plans.map((row) => [row.plan.intent_id, row]));
        this.history = state.history;
    }

    private describeConflict(baseVersion: number): ConfirmResult {
        const differences = this.history
            .filter((entry) => entry.version > baseVersion)
            .flatMap((entry) => entry.differences.map((line) => `version ${String(entry.version)}: ${line}`));
        return { kind: "moved", currentVersion: this.configuration.version, differences };
    }

    private removeOldPlans(): void {
        for (const [intentId] of this.plansByIntent) {
            if (this.plansByIntent.size <= MAX_PLANS) {
                return;
            }
            this.plansByIntent.delete(intentId);
        }
    }
}

function createHistoryEntry(plan: Plan, version: number, confirmed_ms: number): HistoryEntry {
    return { version, intent_id: plan.intent_id, plan_id: plan.id, confirmed_ms, differences: plan.differences };
}
