/**
 * Operator API handlers that plan an intent and confirm a plan.
 */
import type { Membership } from "@crankfork/coordination";
import { createPlan } from "@crankfork/decisions";
import {
    type ConfirmResult,
    type Intent,
    intentSchema,
    parseToml,
    type PlanResult,
    validateValue,
} from "@crankfork/schemas";
import type { IncomingMessage } from "node:http";
import type { CommandResult } from "../../request/claimedRun.js";
import { readBody } from "../httpServer.js";
import { waitMs } from "../waitMs.js";
import type { LeaderClient } from "./leaderClient.js";
import { createNoQuorumError, OperatorApiError } from "./operatorApiError.js";

/** Dependencies of the handlers. */
export interface PlanRequestOptions {
    readonly bodyLimit: number;
    readonly membership: Membership;
    readonly leaderClient: LeaderClient;
}

/** Time limit for a confirmed version to be in force at all instances. */
const IN_FORCE_TIMEOUT_MS = 6_000;
/** Polling reads local memory only. A change takes about 30 ms to be in force on three instances. */
const IN_FORCE_POLL_INTERVAL_MS = 5;

/**
 * Computes a plan for an intent and records it in the log.
 * @param options - dependencies
 * @param request - the HTTP request, with the intent as its body
 * @returns the plan, with its version if it was confirmed before
 * @throws OperatorApiError
 */
export async function recordPlan(options: PlanRequestOptions, request: IncomingMessage): Promise<object> {
    const intent = await readIntent(options, request);
    const current = await options.leaderClient.getNewestConfiguration();
    if (current === undefined) {
        throw createNoQuorumError("plan", "no leader could tell the newest configuration");
    }
    const planned = createPlan(intent, current);
    if (planned.kind === "refused") {
        const next = "add engines or make models smaller, then state the intent again";
        throw new OperatorApiError(
            422,
            "cannot-place",
            "the intent can't be met",
            next,
            "plan",
            "",
            planned.reasons,
        );
    }
    const command = { kind: "record-plan" as const, plan: planned.plan };
    const result = getAppliedResult(await options.leaderClient.propose(command), "plan") as PlanResult;
    if (result.kind === "intent-reused") {
        const message = `the intent id ${result.intentId} stands for another intent`;
        throw new OperatorApiError(409, "intent-reused", message, "give the intent a new id", "plan");
    }
    const { plan, confirmedVersion } = result;
    return confirmedVersion === undefined ? { plan } : { plan, confirmed_version: confirmedVersion };
}

/**
 * Confirms a plan and waits until it is in force at all instances or the time limit expires.
 * @param options - dependencies
 * @param planId - id of the plan
 * @returns the version, and the instances at which it is in force
 * @throws OperatorApiError
 */
export async function confirmPlan(options: PlanRequestOptions, planId: string): Promise<object> {
    const command = { kind: "confirm-plan" as const, plan_id: planId };
    const result = getAppliedResult(await options.leaderClient.propose(command), "confirm") as ConfirmResult;
    switch (result.kind) {
        case "confirmed":
            return {
                version: result.version,
                is_repeat: result.isRepeat,
                ...await waitInForce(options, result.version),
            };
        case "moved": {
            const message = `another change was confirmed; version ${String(result.currentVersion)} is in force`;
            const next = "state the intent again for a plan against that version";
            throw new OperatorApiError(409, "moved", message, next, "confirm", "", result.differences);
        }
        case "unknown-plan":
            throw new OperatorApiError(
                404,
                "unknown-plan",
                `no plan ${planId} is kept`,
                "state the intent again",
                "confirm",
            );
    }
}

interface InForceStatus {
    readonly in_force: readonly string[];
    readonly not_in_force: readonly string[];
}

async function waitInForce(options: PlanRequestOptions, version: number): Promise<InForceStatus> {
    const deadline = performance.now() + IN_FORCE_TIMEOUT_MS;
    for (;;) {
        const members = options.membership.getLiveMembers();
        const behind = members.filter((member) => member.configuration_version < version);
        if (behind.length === 0 || performance.now() >= deadline) {
            const names = behind.map((member) => member.id);
            return {
                in_force: members.map((member) => member.id).filter((id) => !names.includes(id)),
                not_in_force: names,
            };
        }
        await waitMs(IN_FORCE_POLL_INTERVAL_MS);
    }
}

async function readIntent(options: PlanRequestOptions, request: IncomingMessage): Promise<Intent> {
    const text = (await readBody(request, options.bodyLimit)).toString("utf8");
    const isJson = request.headers["content-type"]?.includes("json") === true;
    const checked = isJson
        ? validateValue(intentSchema, JSON.parse(text), "intent")
        : parseToml(intentSchema, text, "intent");
    if (checked.kind === "invalid") {
        const next = "mend the intent; docs/API.md lists its keys";
        throw new OperatorApiError(400, "bad-intent", "the intent does not check", next, "plan", "", checked.faults);
    }
    return checked.value;
}

function getAppliedResult(result: CommandResult, step: string): unknown {
    switch (result.kind) {
        case "applied":
            return result.result;
        case "no-quorum":
            throw createNoQuorumError(step, "no leader took it; nothing changed");
        case "unknown":
            throw createNoQuorumError(step, "it may or may not be done; ask again, which is safe");
    }
}
