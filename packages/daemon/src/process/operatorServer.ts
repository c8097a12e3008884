/**
 * The operators' port: state an intent, get a plan, confirm it; and look at what is there.
 */
import type { Membership } from "@crankfork/coordination";
import { createPlan } from "@crankfork/decisions";
import {
    changeVotersParametersSchema,
    type ChangeVotersResult,
    changeVotersResultSchema,
    checkValue,
    type ConfirmResult,
    type Intent,
    intentSchema,
    type OperatorRefusal,
    parseToml,
    type PlanResult,
    type StatusAnswer,
    type UpstreamRow,
    type VoterChange,
} from "@crankfork/schemas";
import type { IncomingMessage, ServerResponse } from "node:http";
import polka from "polka";
import type { CommandResult } from "../request/claimedRun.js";
import type { ConfigurationInForce } from "../version/configurationInForce.js";
import { hasSecret, readBody, sendJson } from "./httpServer.js";
import type { ReplicaHost } from "./replicaHost.js";
import type { UpstreamState } from "./upstreamState.js";
import type { UpstreamTable } from "./upstreamTable.js";
import type { Voters } from "./voters.js";

/** What the port needs from the process. */
export interface OperatorServerOptions {
    readonly instance: string;
    readonly secret: string | undefined;
    readonly bodyLimit: number;
    readonly getState: () => string;
    readonly membership: Membership;
    readonly host: ReplicaHost | undefined;
    readonly voters: Voters;
    readonly inForce: ConfigurationInForce;
    readonly upstreams: UpstreamTable;
    readonly countOthersInFlight: (upstream: string) => number;
    readonly changeVoters: (change: VoterChange) => Promise<ChangeVotersResult>;
    /** Begins the planned stop of this instance. */
    readonly drain: () => void;
}

/** Budget for a change to be in force everywhere. */
const IN_FORCE_LIMIT_MS = 6_000;
const IN_FORCE_POLL_MS = 20;
const VOTER_CHANGE_TIMEOUT_MS = 40_000;

/** A refusal of the operators' port. */
class OperatorFault extends Error {
    override readonly name = "OperatorFault";

    constructor(
        readonly status: number,
        readonly id: string,
        message: string,
        readonly next: string,
        readonly step: string,
        readonly peer: string = "",
        readonly details: readonly string[] = [],
    ) {
        super(message);
    }
}

/**
 * Creates the handler of the port.
 * @param options - what it needs
 * @returns handles one HTTP request
 */
export function createOperatorHandler(
    options: OperatorServerOptions,
): (request: IncomingMessage, response: ServerResponse) => void {
    const app = polka({
        onNoMatch: (request, response) => {
            sendFault(
                response,
                new OperatorFault(404, "unknown-path", `nothing is at ${request.url}`, "see docs/API.md", "path"),
            );
        },
    });
    const route = (run: (request: polka.Request) => unknown): polka.Middleware => (request, response) => {
        void answer(options, request, response, run);
    };
    app.get("/v1/status", route(() => getStatus(options)));
    app.get(
        "/v1/upstreams",
        route(() => ({ upstreams: options.upstreams.getAll().map((one) => createRow(one, options)) })),
    );
    app.get("/v1/configuration", route(() => options.inForce.get().configuration));
    app.get("/v1/configuration/history", route(() => askVoters(options, "getHistory", {})));
    app.post("/v1/init", route(() => createCluster(options)));
    app.post("/v1/voters", route((request) => changeVotersFromBody(options, request)));
    app.post("/v1/plans", route((request) => recordPlan(options, request)));
    app.post("/v1/plans/:id/confirm", route((request) => confirmPlan(options, request.params.id ?? "")));
    app.post(
        "/v1/drain",
        route(() => {
            options.drain();
            return { draining: options.instance };
        }),
    );
    return (request, response) => {
        app.handler(request as polka.Request, response);
    };
}

async function answer(
    options: OperatorServerOptions,
    request: IncomingMessage,
    response: ServerResponse,
    run: (request: polka.Request) => unknown,
): Promise<void> {
    try {
        if (!hasSecret(request.headers.authorization, options.secret)) {
            throw new OperatorFault(
                401,
                "wrong-secret",
                "the operators' secret is wrong",
                "give --secret-file",
                "secret",
            );
        }
        sendJson(response, 200, await run(request as polka.Request));
    }
    catch (error) {
        sendFault(response, error);
    }
}

function sendFault(response: ServerResponse, error: unknown): void {
    const fault = error instanceof OperatorFault ? error : createUnexpectedFault(error);
    const body: OperatorRefusal = {
        error: {
            id: fault.id,
            message: fault.message,
            step: fault.step,
            peer: fault.peer,
            next: fault.next,
            details: [...fault.details],
        },
    };
    sendJson(response, fault.status, body);
}

function createUnexpectedFault(error: unknown): OperatorFault {
    const message = error instanceof Error ? error.message : String(error);
    return new OperatorFault(500, "internal", message, "see the log of this instance", "serve");
}

function getStatus(options: OperatorServerOptions): StatusAnswer {
    const status = options.host?.replica.getStatus();
    return {
        instance: options.instance,
        state: options.getState(),
        configuration_version: options.inForce.get().configuration.version,
        members: [...options.membership.getMembers()],
        ...(status === undefined ? {} : {
            replica: {
                role: status.role,
                term: status.term,
                ...(status.leader === undefined ? {} : { leader: status.leader }),
                commit_index: status.commitIndex,
                last_index: status.lastIndex,
                replicas: status.replicas,
            },
        }),
    };
}

function createRow(state: UpstreamState, options: OperatorServerOptions): UpstreamRow {
    const { upstream, lastStatus } = state;
    return {
        name: upstream.name,
        kind: upstream.kind,
        address: upstream.address,
        failure_domain: upstream.failure_domain,
        state: state.isLeaving ? "leaving" : state.reachability,
        circuit: state.circuit.state,
        holds: state.holds.map((range) =>
            `${range.model}@${range.version}:${String(range.first_layer)}-${String(range.end_layer - 1)}`
        ),
        own_in_flight: state.ownInFlight,
        others_in_flight: options.countOthersInFlight(upstream.name),
        ...(lastStatus === undefined ? {} : {
            reported_running: lastStatus.load.running,
            reported_waiting: lastStatus.load.waiting,
        }),
    };
}

async function askVoters(options: OperatorServerOptions, method: string, parameters: object): Promise<unknown> {
    try {
        return await options.voters.askLeader(method, parameters, IN_FORCE_LIMIT_MS);
    }
    catch (error) {
        throw createNoQuorumFault(method, error);
    }
}

async function createCluster(options: OperatorServerOptions): Promise<object> {
    if (options.host === undefined) {
        throw new OperatorFault(
            409,
            "no-disk",
            `${options.instance} has no data folder`,
            "name an instance that has one",
            "init",
        );
    }
    try {
        await options.host.createCluster();
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        throw new OperatorFault(409, "cluster-exists", message, "see crankfork status", "init");
    }
    return { cluster: options.host.cluster, voter: options.host.self };
}

async function changeVotersFromBody(options: OperatorServerOptions, request: IncomingMessage): Promise<object> {
    const change = checkBody(changeVotersParametersSchema.safeParse(JSON.parse(await readText(options, request))));
    const isLeader = options.host?.replica.getStatus().role === "leader";
    const result = isLeader
        ? await options.changeVoters(change)
        : changeVotersResultSchema.parse(
            await options.voters.askLeader("changeVoters", change, VOTER_CHANGE_TIMEOUT_MS),
        );
    switch (result.kind) {
        case "changed":
            return result;
        case "not-leader":
            throw createNoQuorumFault("voters", "no leader took the change");
        case "refused":
            throw new OperatorFault(409, "voters-refused", result.reason, "see crankfork voters", "voters");
    }
}

async function recordPlan(options: OperatorServerOptions, request: IncomingMessage): Promise<object> {
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
    const command = { kind: "record-plan" as const, at_ms: Date.now(), plan: planned.plan };
    const result = getApplied(await options.voters.propose(command), "plan") as PlanResult;
    if (result.kind === "intent-reused") {
        const message = `the intent id ${result.intentId} stands for another intent`;
        throw new OperatorFault(409, "intent-reused", message, "give the intent a new id", "plan");
    }
    const { plan, confirmedVersion } = result;
    return confirmedVersion === undefined ? { plan } : { plan, confirmed_version: confirmedVersion };
}

async function confirmPlan(options: OperatorServerOptions, planId: string): Promise<object> {
    const command = { kind: "confirm-plan" as const, at_ms: Date.now(), plan_id: planId };
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

async function waitInForce(options: OperatorServerOptions, version: number): Promise<InForce> {
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
        await new Promise((resolve) => setTimeout(resolve, IN_FORCE_POLL_MS));
    }
}

async function readIntent(options: OperatorServerOptions, request: IncomingMessage): Promise<Intent> {
    const text = await readText(options, request);
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

async function readText(options: OperatorServerOptions, request: IncomingMessage): Promise<string> {
    return (await readBody(request, options.bodyLimit)).toString("utf8");
}

function checkBody<Value>(parsed: { success: true; data: Value; } | { success: false; error: Error; }): Value {
    if (!parsed.success) {
        throw new OperatorFault(400, "bad-body", parsed.error.message, "see docs/API.md", "body");
    }
    return parsed.data;
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

function createNoQuorumFault(step: string, cause: unknown): OperatorFault {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const next = "see crankfork status for the voters, then ask again";
    return new OperatorFault(503, "no-quorum", `the voters can't agree now: ${reason}`, next, step, "voters");
}
