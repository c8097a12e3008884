/**
 * The operator API: plans, configuration, voters and status of the cluster.
 */
import type { Membership } from "@crankfork/coordination";
import {
    changeVotersParametersSchema,
    type ChangeVotersResult,
    changeVotersResultSchema,
    type StatusResponse,
    type UpstreamRow,
    type VoterChange,
} from "@crankfork/schemas";
import type { IncomingMessage, ServerResponse } from "node:http";
import polka from "polka";
import type { ActiveConfiguration } from "../../version/activeConfiguration.js";
import { hasSecret, readBody, type RequestHandler, sendJson } from "../httpServer.js";
import type { ReplicaHost } from "../replicaHost.js";
import { startTask } from "../startTask.js";
import type { LeaderClient } from "./leaderClient.js";
import { createNoQuorumError, OperatorApiError, sendOperatorError } from "./operatorApiError.js";
import { confirmPlan, recordPlan } from "./planRequests.js";
import type { UpstreamState } from "./upstreamState.js";
import type { UpstreamTable } from "./upstreamTable.js";

/** Dependencies of the API. */
export interface OperatorServerOptions {
    readonly instance: string;
    readonly secret: string | undefined;
    readonly bodyLimit: number;
    readonly getState: () => string;
    readonly membership: Membership;
    readonly host: ReplicaHost | undefined;
    readonly leaderClient: LeaderClient;
    readonly inForce: ActiveConfiguration;
    readonly upstreams: UpstreamTable;
    readonly countOthersInFlight: (upstream: string) => number;
    readonly changeVoters: (change: VoterChange) => Promise<ChangeVotersResult>;
    /** Starts the graceful shutdown of this instance. */
    readonly drain: () => void;
}

const LEADER_REQUEST_TIMEOUT_MS = 6_000;
const VOTER_CHANGE_TIMEOUT_MS = 40_000;

/**
 * Creates the request handler of the API.
 * @param options - dependencies
 * @returns the handler
 */
export function createOperatorHandler(options: OperatorServerOptions): RequestHandler {
    const app = polka({
        onNoMatch: (request, response) => {
            sendOperatorError(
                response,
                new OperatorApiError(404, "unknown-path", `nothing is at ${request.url}`, "see docs/API.md", "path"),
            );
        },
    });
    const route = (run: (request: polka.Request) => unknown): polka.Middleware => (request, response) => {
        startTask("operator-request", () => respond(options, request, response, run), () => response.destroy());
    };
    app.get("/v1/status", route(() => getStatus(options)));
    app.get(
        "/v1/upstreams",
        route(() => ({ upstreams: options.upstreams.getAll().map((one) => createUpstreamRow(one, options)) })),
    );
    app.get("/v1/configuration", route(() => options.inForce.get().configuration));
    app.get("/v1/configuration/history", route(() => requestLeader(options, "getHistory", {})));
    app.post("/v1/init", route(() => createCluster(options)));
    app.post("/v1/voters", route((request) => handleVoterChange(options, request)));
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

async function respond(
    options: OperatorServerOptions,
    request: IncomingMessage,
    response: ServerResponse,
    run: (request: polka.Request) => unknown,
): Promise<void> {
    try {
        if (!hasSecret(request.headers.authorization, options.secret)) {
            throw new OperatorApiError(
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
        sendOperatorError(response, error);
    }
}

function getStatus(options: OperatorServerOptions): StatusResponse {
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

function createUpstreamRow(state: UpstreamState, options: OperatorServerOptions): UpstreamRow {
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

async function requestLeader(options: OperatorServerOptions, method: string, parameters: object): Promise<unknown> {
    try {
        return await options.leaderClient.requestLeader(method, parameters, LEADER_REQUEST_TIMEOUT_MS);
    }
    catch (error) {
        throw createNoQuorumError(method, error);
    }
}

async function createCluster(options: OperatorServerOptions): Promise<object> {
    if (options.host === undefined) {
        throw new OperatorApiError(
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
        throw new OperatorApiError(409, "cluster-exists", message, "see crankfork status", "init");
    }
    return { cluster: options.host.cluster, voter: options.host.self };
}

async function handleVoterChange(options: OperatorServerOptions, request: IncomingMessage): Promise<object> {
    const change = checkBody(
        changeVotersParametersSchema.safeParse(
            JSON.parse((await readBody(request, options.bodyLimit)).toString("utf8")),
        ),
    );
    const isLeader = options.host?.replica.getStatus().role === "leader";
    const result = isLeader
        ? await options.changeVoters(change)
        : changeVotersResultSchema.parse(
            await options.leaderClient.requestLeader("changeVoters", change, VOTER_CHANGE_TIMEOUT_MS),
        );
    switch (result.kind) {
        case "changed":
            return result;
        case "not-leader":
            throw createNoQuorumError("voters", "no leader took the change");
        case "refused":
            throw new OperatorApiError(409, "voters-refused", result.reason, "see crankfork voters", "voters");
    }
}

function checkBody<Value>(parsed: { success: true; data: Value; } | { success: false; error: Error; }): Value {
    if (!parsed.success) {
        throw new OperatorApiError(400, "bad-body", parsed.error.message, "see docs/API.md", "body");
    }
    return parsed.data;
}
