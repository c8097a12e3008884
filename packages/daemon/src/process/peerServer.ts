/**
 * The port for other instances: JSON-RPC 2.0 over HTTP.
 */
import {
    awaitAnswerParametersSchema,
    type AwaitAnswerResult,
    changeVotersParametersSchema,
    type ChangeVotersResult,
    type Configuration,
    type DescribeReplicaResult,
    memberParametersSchema,
    type NewestResult,
    proposeParametersSchema,
    type ProposeResult,
    replicaParametersSchema,
    type VoterChange,
} from "@crankfork/schemas";
import { JSONRPCServer } from "json-rpc-2.0";
import { createProposeResult } from "./createProposeResult.js";
import type { RequestHandler } from "./httpServer.js";
import type { HybridClock } from "./hybridClock.js";
import type { PeerLink } from "./peerLink.js";
import type { ReplicaHost } from "./replicaHost.js";
import { createRpcHandler } from "./rpcHandler.js";

/** Dependencies of the port. */
export interface PeerServerOptions {
    readonly instance: string;
    readonly secret: string | undefined;
    readonly clock: HybridClock;
    readonly link: PeerLink;
    readonly host: ReplicaHost | undefined;
    readonly getConfiguration: () => Configuration;
    readonly changeVoters: (change: VoterChange) => Promise<ChangeVotersResult>;
    readonly awaitAnswer: (owner: string, token: string) => Promise<AwaitAnswerResult>;
}

/**
 * Creates the handler of the port.
 * @param options - its dependencies
 * @returns a handler of HTTP requests
 */
export function createPeerHandler(options: PeerServerOptions): RequestHandler {
    return createRpcHandler({ secret: options.secret, clock: options.clock, server: createRpcServer(options) });
}

function createRpcServer(options: PeerServerOptions): JSONRPCServer {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    const { host } = options;
    server.addMethod("member", (raw) => {
        const { from, message } = memberParametersSchema.parse(raw);
        return { answers: options.link.receiveMember(from, message) };
    });
    server.addMethod("replica", async (raw) => {
        const envelope = replicaParametersSchema.parse(raw);
        return { answers: await host?.receive(envelope) ?? [] };
    });
    server.addMethod("propose", async (raw): Promise<ProposeResult> => {
        const { command } = proposeParametersSchema.parse(raw);
        return host === undefined ? { kind: "not-leader" } : createProposeResult(await host.propose(command));
    });
    server.addMethod("getNewest", (): NewestResult => getNewest(host));
    server.addMethod("getConfiguration", () => ({ configuration: options.getConfiguration() }));
    server.addMethod("awaitAnswer", async (raw): Promise<AwaitAnswerResult> => {
        const { owner, token } = awaitAnswerParametersSchema.parse(raw);
        return await options.awaitAnswer(owner, token);
    });
    server.addMethod("getHistory", () => ({ history: host?.state.configurations.getHistory() ?? [] }));
    server.addMethod(
        "changeVoters",
        async (raw) => await options.changeVoters(changeVotersParametersSchema.parse(raw)),
    );
    server.addMethod("describeReplica", (): DescribeReplicaResult => ({
        instance: options.instance,
        ...(host === undefined ? {} : { replica: host.self }),
        ...(host?.cluster === undefined ? {} : { cluster: host.cluster }),
    }));
    return server;
}

function getNewest(host: ReplicaHost | undefined): NewestResult {
    if (host?.replica.hasLeaderLease() === true) {
        return { kind: "newest", configuration: host.state.configurations.getConfiguration() };
    }
    const leader = host?.replica.getStatus().leader;
    return leader === undefined || leader.id === host?.self.id
        ? { kind: "not-leader" }
        : { kind: "not-leader", leader };
}
