/**
 * Intents, plans and confirms, as the operators' port takes them.
 */
import type { Membership } from "@crankfork/coordination";
import { createPlan } from "@crankfork/decisions";
import {
    checkValue,
    type ConfirmResult,
    type Intent,
    intentSchema,
    parseToml,
    type PlanResult,
} from "@crankfork/schemas";
import type { IncomingMessage } from "node:http";
import type { CommandResult } from "../../request/claimedRun.js";
import { readBody } from "../httpServer.js";
import { waitMs } from "../waitMs.js";
import type { Voters } from "./leaderClient.js";
import { createNoQuorumFault, OperatorFault } from "./operatorApiError.js";

/** What plans need from the process. */
export interface PlanRequestOptions {
    readonly bodyLimit: number;
    readonly membership: Membership;
    readonly voters: Voters;
}

/** Budget for a change to be in force everywhere. */
const IN_FORCE_LIMIT_MS = 6_000;
/** The members stand in this process's memory; a change takes some 30 ms to be in force on three instances. */
const IN_FORCE_POLL_MS = 5;

/**
 * Answers an intent by a plan, recorded by the voters.
 * @param options - voters and members
 * @param request - the request with the intent
 * @returns the plan, and its version where it was confirmed before
 * @throws OperatorFault
 */
export async function recordPlan(options: PlanRequestOptions, request: IncomingMessage): Promise<object> {
    const intent = await readIntent(options, request);
    const present = await options.voters.getNewestConfiguration();
    if (present === undefined) {
        throw createNoQuorumFault("plan", "no leader could tell the newest configuration");
    }
    const planned = createPlan(intent, present);
    if (planned.kind === "refused") {
        const next = "add engines or make models smaller, then state the intent again";
        throw new OperatorFault(422, "cannot-place", "the intent can't be met", next, "plan", "", planned.reasons);
    }
    const command = { kind: "record-plan" as const, plan: planned.plan };
    const result = getApplied(await options.voters.propose(command), "plan") as PlanResult;
    if (result.kind === "intent-reused") {
        const message = `the intent id ${result.intentId} stands for another intent`;
        throw new OperatorFault(409, "intent-reused", message, "give the intent a new id", "plan");
    }
    const { plan, confirmedVersion } = result;
    return confirmedVersion === undefined ? { plan } : { plan, confirmed_version: confirmedVersion };
}

/**
 * Confirms a plan and waits until it is in force.
 * @param options - voters and members
 * @param planId - the plan
 * @returns the version, and where it is in force
 * @throws OperatorFault
 */
export async function confirmPlan(options: PlanRequestOptions, planId: string): Promise<object> {
    const command = { kind: "confirm-plan" as const, plan_id: planId };
    const result = getApplied(await options.voters.propose(command), "confirm") as ConfirmResult;
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
            throw new OperatorFault(409, "moved", message, next, "confirm", "", result.differences);
        }
        case "unknown-plan":
            throw new OperatorFault(
                404,
                "unknown-plan",
                `no plan ${planId} is kept`,
                "state the intent again",
                "confirm",
            );
    }
}

interface InForce {
    readonly in_force: readonly string[];
    readonly not_in_force: readonly string[];
}

async function waitInForce(options: PlanRequestOptions, version: number): Promise<InForce> {
    const deadline = performance.now() + IN_FORCE_LIMIT_MS;
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
        await waitMs(IN_FORCE_POLL_MS);
    }
}

async function readIntent(options: PlanRequestOptions, request: IncomingMessage): Promise<Intent> {
    const text = (await readBody(request, options.bodyLimit)).toString("utf8");
    const isJson = request.headers["content-type"]?.includes("json") === true;
    const checked = isJson
        ? checkValue(intentSchema, JSON.parse(text), "intent")
        : parseToml(intentSchema, text, "intent");
    if (checked.kind === "invalid") {
        const next = "mend the intent; docs/API.md lists its keys";
        throw new OperatorFault(400, "bad-intent", "the intent does not check", next, "plan", "", checked.faults);
    }
    return checked.value;
}

function getApplied(result: CommandResult, step: string): unknown {
    switch (result.kind) {
        case "applied":
            return result.result;
        case "no-quorum":
            throw createNoQuorumFault(step, "no leader took it; nothing changed");
        case "unknown":
            throw createNoQuorumFault(step, "it may or may not be done; ask again, which is safe");
    }
}
