/**
 * The commands of the operator CLI, one function each.
 */
import {
    changeVotersResultSchema,
    configurationSchema,
    confirmResponseSchema,
    historyResponseSchema,
    type Member,
    planResponseSchema,
    statusResponseSchema,
    upstreamsResponseSchema,
} from "@crankfork/schemas";
import { readFileSync } from "node:fs";
import * as z from "zod";
import { type OperatorClientOptions, OperatorError, requestInstance } from "./operatorClient.js";
import { formatTable, printAnswer } from "./output.js";

/** Options common to all commands. */
export interface CommandOptions {
    readonly client: OperatorClientOptions;
    readonly isJson: boolean;
}

const initAnswerSchema = z.object({ cluster: z.string(), voter: z.object({ id: z.string(), address: z.string() }) });
const drainAnswerSchema = z.object({ draining: z.string() });
const MAX_ADD_VOTER_ATTEMPTS = 50;
const ADD_VOTER_RETRY_DELAY_MS = 100;

/**
 * Creates a cluster at the addressed instance and adds further voters.
 * @param options - instance to address and output format
 * @param voters - instances to add, in order
 */
export async function initCluster(options: CommandOptions, voters: readonly string[]): Promise<void> {
    const raw = await requestInstance(options.client, { method: "POST", path: "/v1/init" });
    const created = initAnswerSchema.parse(raw);
    for (const name of voters) {
        await addVoterWithRetry(options, name);
    }
    printAnswer(
        { ...created, added: voters },
        options.isJson,
        (answer) =>
            [`cluster ${answer.cluster}`, `voter ${answer.voter.id}`, ...voters.map((name) => `voter ${name} added`)]
                .join("\n"),
    );
}

/**
 * Adds or removes a voter.
 * @param options - instance to address and output format
 * @param action - change to make
 * @param name - instance to add, or instance or replica to remove
 */
export async function changeVoters(options: CommandOptions, action: "add" | "remove", name: string): Promise<void> {
    const result = await requestVoterChange(options, action, name);
    printAnswer(
        result,
        options.isJson,
        (answer) => answer.kind === "changed" ? formatReplicas(answer.replicas) : answer.kind,
    );
}

/**
 * Replaces a voter. The new voter is added first, so that the set never shrinks.
 * @param options - instance to address and output format
 * @param oldName - instance or replica to remove
 * @param newName - instance to add
 */
export async function replaceVoter(options: CommandOptions, oldName: string, newName: string): Promise<void> {
    await requestVoterChange(options, "add", newName);
    await changeVoters(options, "remove", oldName);
}

/**
 * Prints instances, versions and voters.
 * @param options - instance to address and output format
 */
export async function printStatus(options: CommandOptions): Promise<void> {
    const status = statusResponseSchema.parse(
        await requestInstance(options.client, { method: "GET", path: "/v1/status" }),
    );
    printAnswer(status, options.isJson, (answer) => {
        const leader = answer.replica?.leader?.id.split(".")[0];
        const replica = answer.replica === undefined
            ? "no replica here"
            : `replica ${answer.replica.role}, term ${String(answer.replica.term)}, leader ${leader ?? "unknown"}, `
                + `committed ${String(answer.replica.commit_index)}`;
        const head = ["INSTANCE", "DOMAIN", "STATUS", "VERSION", "REPLICA", "ADDRESS"];
        return [
            `${answer.instance}: ${answer.state}, version ${String(answer.configuration_version)}, ${replica}`,
            formatTable({ head, rows: answer.members.map((member) => createMemberRow(member, leader)) }),
        ].join("\n");
    });
}

/**
 * Prints the voters and learners.
 * @param options - instance to address and output format
 */
export async function printVoters(options: CommandOptions): Promise<void> {
    const status = statusResponseSchema.parse(
        await requestInstance(options.client, { method: "GET", path: "/v1/status" }),
    );
    if (status.replica === undefined) {
        const next = "use --at with an instance that has a data folder; crankfork status lists the replicas";
        throw new OperatorError(`${status.instance} holds no replica`, "voters", status.instance, next);
    }
    printAnswer(status.replica.replicas, options.isJson, formatReplicas);
}

/**
 * Creates a plan for an intent and prints it. Changes nothing.
 * @param options - instance to address and output format
 * @param file - TOML file with the intent
 */
export async function printPlan(options: CommandOptions, file: string): Promise<void> {
    const raw = await requestInstance(options.client, {
        method: "POST",
        path: "/v1/plans",
        contentType: "application/toml",
        body: readIntentFile(file),
    });
    printAnswer(planResponseSchema.parse(raw), options.isJson, ({ plan, confirmed_version }) => {
        const head = `plan ${plan.id} for intent ${plan.intent_id}, on version ${String(plan.base_version)}`;
        const lines = plan.differences.length === 0
            ? ["  nothing would change"]
            : plan.differences.map((line) => `  ${line}`);
        const next = confirmed_version === undefined
            ? `confirm with: crankfork confirm ${plan.id}`
            : `confirmed already as version ${String(confirmed_version)}`;
        return [head, ...lines, next].join("\n");
    });
}

/**
 * Confirms a plan and waits until it is in force.
 * @param options - instance to address and output format
 * @param planId - id of the plan
 */
export async function confirmPlan(options: CommandOptions, planId: string): Promise<void> {
    const raw = await requestInstance(options.client, {
        method: "POST",
        path: `/v1/plans/${encodeURIComponent(planId)}/confirm`,
    });
    printAnswer(confirmResponseSchema.parse(raw), options.isJson, (answer) => {
        const repeat = answer.is_repeat ? " (confirmed before)" : "";
        const behind = answer.not_in_force.length === 0
            ? []
            : [`not yet in force at ${answer.not_in_force.join(", ")}`];
        const version = String(answer.version);
        return [`version ${version}${repeat}, in force at ${answer.in_force.join(", ")}`, ...behind].join("\n");
    });
}

/**
 * Prints the configuration in force.
 * @param options - instance to address and output format
 */
export async function printConfiguration(options: CommandOptions): Promise<void> {
    const raw = await requestInstance(options.client, { method: "GET", path: "/v1/configuration" });
    printAnswer(configurationSchema.parse(raw), options.isJson, (answer) => JSON.stringify(answer, undefined, 4));
}

/**
 * Prints the history of confirmed changes.
 * @param options - instance to address and output format
 */
export async function printHistory(options: CommandOptions): Promise<void> {
    const answer = await getHistory(options);
    printAnswer(answer, options.isJson, ({ history }) => {
        const rows = history.map((entry) => [
            String(entry.version),
            new Date(entry.confirmed_ms).toISOString(),
            entry.intent_id,
            entry.plan_id,
            String(entry.differences.length),
        ]);
        return formatTable({ head: ["VERSION", "CONFIRMED", "INTENT", "PLAN", "CHANGES"], rows });
    });
}

/**
 * Prints what changed between two versions.
 * @param options - instance to address and output format
 * @param from - the older version
 * @param to - the newer version
 */
export async function printDifferences(options: CommandOptions, from: number, to: number): Promise<void> {
    const { history } = await getHistory(options);
    const lines = history
        .filter((entry) => entry.version > from && entry.version <= to)
        .flatMap((entry) => entry.differences.map((line) => `version ${String(entry.version)}: ${line}`));
    printAnswer({ from, to, lines }, options.isJson, () => lines.length === 0 ? "no differences" : lines.join("\n"));
}

/**
 * Prints the upstreams.
 * @param options - instance to address and output format
 */
export async function printUpstreams(options: CommandOptions): Promise<void> {
    const raw = await requestInstance(options.client, { method: "GET", path: "/v1/upstreams" });
    printAnswer(upstreamsResponseSchema.parse(raw), options.isJson, ({ upstreams }) => {
        const rows = upstreams.map((one) => [
            one.name,
            one.state,
            one.circuit,
            one.holds.join(" "),
            `${String(one.own_in_flight)}+${String(one.others_in_flight)}`,
            one.reported_running === undefined
                ? "-"
                : `${String(one.reported_running)}/${String(one.reported_waiting)}`,
            one.failure_domain,
        ]);
        const head = ["UPSTREAM", "STATE", "CIRCUIT", "HOLDS", "OWN+OTHERS", "RUN/WAIT", "DOMAIN"];
        return formatTable({ head, rows });
    });
}

/**
 * Starts the graceful shutdown of the addressed instance.
 * @param options - instance to address and output format
 */
export async function drainInstance(options: CommandOptions): Promise<void> {
    const raw = await requestInstance(options.client, { method: "POST", path: "/v1/drain" });
    printAnswer(drainAnswerSchema.parse(raw), options.isJson, (answer) => `${answer.draining} is draining`);
}

/** Retries, because a new cluster has no leader yet and may not have learnt of all instances through gossip. */
async function addVoterWithRetry(options: CommandOptions, name: string): Promise<void> {
    for (let attempt = 1;; attempt += 1) {
        try {
            await requestVoterChange(options, "add", name);
            return;
        }
        catch (error) {
            if (!(error instanceof OperatorError) || attempt >= MAX_ADD_VOTER_ATTEMPTS) {
                throw error;
            }
            await new Promise((resolve) => setTimeout(resolve, ADD_VOTER_RETRY_DELAY_MS));
        }
    }
}

async function requestVoterChange(
    options: CommandOptions,
    action: "add" | "remove",
    name: string,
): Promise<z.infer<typeof changeVotersResultSchema>> {
    const body = JSON.stringify({ action, name });
    return changeVotersResultSchema.parse(
        await requestInstance(options.client, { method: "POST", path: "/v1/voters", body }),
    );
}

async function getHistory(options: CommandOptions): Promise<z.infer<typeof historyResponseSchema>> {
    const raw = await requestInstance(options.client, { method: "GET", path: "/v1/configuration/history" });
    return historyResponseSchema.parse(raw);
}

function createMemberRow(member: Member, leader: string | undefined): readonly string[] {
    const replica = member.has_replica ? (member.id === leader ? "leader" : "yes") : "no";
    const version = String(member.configuration_version);
    return [member.id, member.failure_domain, member.status, version, replica, member.address];
}

function formatReplicas(
    replicas: { voters: { id: string; address: string; }[]; learners: { id: string; address: string; }[]; },
): string {
    const rows = [
        ...replicas.voters.map((one) => [one.id, "voter", one.address]),
        ...replicas.learners.map((one) => [one.id, "learner", one.address]),
    ];
    return formatTable({ head: ["REPLICA", "KIND", "ADDRESS"], rows });
}

function readIntentFile(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        throw new OperatorError(`${file} can't be read: ${reason}`, "read", file, "pass a TOML file with an intent");
    }
}
