/**
 * Plans and confirmed configurations, as part of the replicated state.
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

/** Maximum number of plans kept; the oldest are removed first. */
const MAX_PLANS = 200;
/** Maximum number of confirmed changes kept for `crankfork config history`. */
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

/** The configuration in force, the history of confirmed changes, and the recorded plans. */
export class ConfigurationRegister {
    private configuration: Configuration = emptyConfiguration;
    private plansByIntent = new Map<string, PlanRecord>();
    private history: HistoryEntry[] = [];

    /**
     * Gets the configuration in force.
     * @returns the last confirmed configuration
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
     * @returns the plan, or undefined if it is unknown
     */
    getPlan(id: string): Plan | undefined {
        return [...this.plansByIntent.values()].find(({ plan }) => plan.id === id)?.plan;
    }

    /**
     * Records a plan. Repeating an intent returns its earlier plan, unless that plan can no longer be confirmed.
     * @param plan - the new plan
     * @returns the plan for the intent
     */
    recordPlan(plan: Plan): PlanResult {
        const existing = this.plansByIntent.get(plan.intent_id);
        if (existing !== undefined && existing.plan.digest !== plan.digest) {
            return { kind: "intent-reused", intentId: plan.intent_id };
        }
        const isUsable = existing !== undefined
            && (existing.confirmed_version !== undefined || existing.plan.base_version === this.configuration.version);
        if (isUsable) {
            return { kind: "planned", plan: existing.plan, confirmedVersion: existing.confirmed_version };
        }
        this.plansByIntent.delete(plan.intent_id);
        this.plansByIntent.set(plan.intent_id, { plan });
        this.removeOldPlans();
        return { kind: "planned", plan, confirmedVersion: undefined };
    }

    /**
     * Confirms a plan, unless another was confirmed since it was made. Idempotent.
     * @param planId - the plan
     * @param atMs - the leader's Unix time
     * @returns the resulting version, or the changes confirmed since the plan was made
     */
    confirmPlan(planId: string, atMs: number): ConfirmResult {
        const record = [...this.plansByIntent.values()].find(({ plan }) => plan.id === planId);
        if (record === undefined) {
            return { kind: "unknown-plan" };
        }
        if (record.confirmed_version !== undefined) {
            return { kind: "confirmed", version: record.confirmed_version, isRepeat: true };
        }
        if (record.plan.base_version !== this.configuration.version) {
            return this.describeConflict(record.plan.base_version);
        }
        const version = this.configuration.version + 1;
        this.configuration = { ...record.plan.configuration, version };
        this.plansByIntent.set(record.plan.intent_id, { ...record, confirmed_version: version });
        this.history = [...this.history, createHistoryEntry(record.plan, version, atMs)].slice(-MAX_HISTORY_ENTRIES);
        return { kind: "confirmed", version, isRepeat: false };
    }

    /**
     * Gets the state as plain data.
     * @returns configuration, plans and history
     */
    getState(): ConfigurationState {
        return { configuration: this.configuration, plans: [...this.plansByIntent.values()], history: this.history };
    }

    /**
     * Replaces the state with that of a snapshot.
     * @param state - configuration, plans and history
     */
    restore(state: ConfigurationState): void {
        this.configuration = state.configuration;
        this.plansByIntent = new Map(state.plans.map((record) => [record.plan.intent_id, record]));
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
