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
import type { IncomingMessage, ServerResponse } from "node:http";
import { CLOCK_HEADER, receiveClock } from "../connection/peerClient.js";
import { hasSecret, readBody, sendJson } from "./httpServer.js";
import { formatHybridTime, type HybridClock } from "./hybridClock.js";
import type { PeerLink } from "./peerLink.js";
import type { ReplicaHost } from "./replicaHost.js";

/** What the port needs from the process. */
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

/** A snapshot of the whole state has to fit. */
const MOST_BODY_BYTES = 256 * 1_024 * 1_024;

/**
 * Creates the handler of the port.
 * @param options - what it needs
 * @returns handles one HTTP request
 */
export function createPeerHandler(
    options: PeerServerOptions,
): (request: IncomingMessage, response: ServerResponse) => void {
    const server = createRpcServer(options);
    const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        if (!hasSecret(request.headers.authorization, options.secret)) {
            sendJson(response, 401, { error: "the peers' secret is wrong" });
            return;
        }
        receiveClock(options.clock, request.headers[CLOCK_HEADER]);
        const body = await readBody(request, MOST_BODY_BYTES);
        const answer = await server.receiveJSON(body.toString("utf8"));
        const headers = { [CLOCK_HEADER]: formatHybridTime(options.clock.get()) };
        if (answer === null) {
            response.writeHead(204, headers).end();
            return;
        }
        sendJson(response, 200, answer, headers);
    };
    return (request, response) => {
        handle(request, response).catch(() => {
            response.destroy();
        });
    };
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
        return await (host?.propose(command) ?? { kind: "not-leader" as const });
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
    if (host?.replica.hasNewestState() === true) {
        return { kind: "newest", configuration: host.state.configurations.getConfiguration() };
    }
    const leader = host?.replica.getStatus().leader;
    return leader === undefined || leader.id === host?.self.id
        ? { kind: "not-leader" }
        : { kind: "not-leader", leader };
}
