/**
 * Answers on a raw socket that are no valid or no complete response, for every client that reads answers.
 */
import fc from "fast-check";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { formatChunk } from "./routedHarness.js";

const SEED = 7;
const TOKEN = /^[!#$%&'*+.^_`|~\w-]+$/;
/** The kernel does not accept a request of this size before the server reads it. */
export const UNSENT_BYTES = 4_190_000;

/** A character that may not stand in the name of a header, except those that end it. */
const invalidNames = fc.tuple(
    fc.constantFrom("", "x", "x-id"),
    fc.integer({ min: 0, max: 255 }).map((code) => String.fromCharCode(code)).filter((char) =>
        !TOKEN.test(char) && !":\r\n".includes(char)
    ),
    fc.constantFrom("", "y"),
).map((parts) => parts.join(""));
const invalidValues = fc.integer({ min: 0, max: 255 }).map((code) => String.fromCharCode(code)).filter((char) =>
    /[^\t\x20-\x7e\x80-\xff]/.test(char) && !"\r\n".includes(char)
);

/** The head of an answer. */
export interface Head {
    readonly title: string;
    readonly status?: string;
    /** Lines after that of the id. */
    readonly lines?: readonly string[];
}

/** Formats the header with the length of a body. */
export function formatLength(body: string): string {
    return `content-length: ${String(Buffer.byteLength(body))}`;
}

/** Lists heads that are none of HTTP/1.1, for a body. */
export function createInvalidHeads(body: string): readonly Head[] {
    const length = formatLength(body);
    return [
        ...["000", "099", "0", "20", "2000", "-20", "abc", "2 0", "101", "600", "999"].map((status) => ({
            title: `the status ${status}`,
            status,
        })),
        ...fc.sample(invalidNames, { seed: SEED, numRuns: 40 }).map((name) => ({
            title: `the name ${JSON.stringify(name)}`,
            lines: [`${name}: v`, length],
        })),
        ...fc.sample(invalidValues, { seed: SEED, numRuns: 20 }).map((char) => ({
            title: `the character ${JSON.stringify(char)} in a value`,
            lines: [`x-y: a${char}b`, length],
        })),
        { title: "NUL in a value", lines: ["x-y: a\0b", length] },
        { title: "a line without a colon", lines: ["x-y", length] },
        { title: "an empty name", lines: [": v", length] },
        { title: "a folded line", lines: ["x-y: a", " b", length] },
        { title: "two lengths", lines: [length, "content-length: 4"] },
        { title: "two equal lengths", lines: [length, length] },
        { title: "a list of lengths", lines: ["content-length: 4, 4"] },
        { title: "a signed length", lines: ["content-length: +4"] },
        { title: "a length that is no number", lines: ["content-length: 4x"] },
        { title: "a length beyond the range of numbers", lines: [`content-length: ${"9".repeat(30)}`] },
        { title: "a length and chunks", lines: [length, "transfer-encoding: chunked"] },
        { title: "a transfer coding without chunks", lines: ["transfer-encoding: gzip"] },
        { title: "a transfer coding within chunks", lines: ["transfer-encoding: gzip, chunked"] },
        { title: "chunks within a transfer coding", lines: ["transfer-encoding: chunked, gzip"] },
        { title: "no transfer coding by name", lines: ["transfer-encoding: identity"] },
        { title: "a tab after the transfer coding", lines: ["transfer-encoding: chunked\t"] },
        { title: "two transfer codings", lines: ["transfer-encoding: chunked", "transfer-encoding: chunked"] },
    ];
}

/** Formats an answer with a body whose framing is what the head says. */
export function formatAnswer(id: string, { status = "200", lines }: Head, body: string): Buffer {
    const fields = lines ?? [formatLength(body)];
    const isChunked = fields.some((line) => line.toLowerCase().includes("chunked"));
    const head = [`HTTP/1.1 ${status} OK`, `x-id: ${id}`, "content-type: text/event-stream", ...fields, "", ""];
    return Buffer.from(head.join("\r\n") + (isChunked ? formatChunk(body) + formatChunk("") : body), "latin1");
}

/** How the server ends the connection after its answer. */
const endings = {
    "reset": (socket: Socket) => socket.resetAndDestroy(),
    "reset later": (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), 5),
    // With unread bytes, the kernel sends a reset.
    "closed": (socket: Socket) => socket.destroy(),
    "ended": (socket: Socket) => socket.end(),
    "ended, then reset": (socket: Socket) => {
        socket.end();
        setImmediate(() => socket.resetAndDestroy());
    },
} as const;

/** An answer as it is sent. */
export interface SentAnswer {
    readonly title: string;
    readonly bytes: Buffer;
    readonly ending: keyof typeof endings;
    /** Whether it is sent while the request is still being written, which is not read. */
    readonly isEarly?: boolean;
}

/**
 * Lists answers that end before they are complete. Where the body consists of lines, the end of the last one is missing, since a
 * whole line is an answer by itself.
 */
function createCutAnswers(body: string): readonly SentAnswer[] {
    const part = body.trimEnd();
    const half = part.slice(0, part.length / 2);
    const chunk = formatChunk(part);
    const unframed = [
        { framing: "no length", start: "HTTP/1.1 200 OK\r\n\r\n" },
        { framing: "no length, close announced", start: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" },
        { framing: "no length, HTTP/1.0", start: "HTTP/1.0 200 OK\r\n\r\n" },
    ].flatMap(({ framing, start }) => [
        { framing: `${framing}, all of the body`, text: start + part },
        { framing: `${framing}, half of the body`, text: start + half },
        { framing: `${framing}, no body`, text: start },
    ]);
    const chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const withLength = `HTTP/1.1 200 OK\r\n${formatLength(`${body}0123456789`)}\r\n\r\n`;
    const framed = [
        { framing: "a part of the head", text: "HTTP/1.1 200 OK\r\ncontent-le" },
        { framing: "a length that is larger than the body", text: withLength + part },
        { framing: "a length, half of the body", text: withLength + half },
        { framing: "a length, no body", text: withLength },
        { framing: "a length of 2^60", text: `HTTP/1.1 200 OK\r\ncontent-length: ${String(2 ** 60)}\r\n\r\n${part}` },
        { framing: "chunks without the last one", text: chunked + chunk },
        { framing: "chunks, the last one without its end", text: `${chunked}${chunk}0\r\n` },
        { framing: "chunks, a part of one", text: chunked + chunk.slice(0, -3) },
        { framing: "chunks, no body", text: chunked },
    ];
    const create = (
        cuts: readonly { readonly framing: string; readonly text: string; }[],
        names: readonly (keyof typeof endings)[],
        isEarly: boolean,
    ): readonly SentAnswer[] =>
        cuts.flatMap(({ framing, text }) =>
            names.map((ending) => ({
                title: `${framing}, ${ending}${isEarly ? " while the request is being written" : ""}`,
                bytes: Buffer.from(text),
                ending,
                isEarly,
            }))
        );
    return [
        ...create(unframed, ["reset", "reset later"], false),
        ...create(framed, ["reset", "reset later", "ended"], false),
        ...create([...unframed, ...framed], ["reset", "closed", "ended, then reset"], true),
    ];
}

/** Lists answers that no client may accept; each would be valid if its head, or its end, were. */
export function createInvalidAnswers(body: string): readonly SentAnswer[] {
    const heads = createInvalidHeads(body).map((head): SentAnswer => ({
        title: head.title,
        bytes: formatAnswer("one", head, body),
        ending: "ended",
    }));
    return [...heads, ...createCutAnswers(body)];
}

/** Lists answers that each client accepts. */
export function createValidAnswers(body: string): readonly SentAnswer[] {
    const create = (title: string, head: Head): SentAnswer => ({
        title,
        bytes: formatAnswer("one", head, body),
        ending: "ended",
    });
    return [
        create("a length", { title: "" }),
        create("a length, blanks after it", { title: "", lines: [`${formatLength(body)}  `] }),
        create("chunks", { title: "", lines: ["transfer-encoding: chunked"] }),
        create("no length", { title: "", lines: ["connection: close"] }),
    ];
}

/** A server that sends one answer on each connection. */
export class AnswerServer {
    private readonly sockets = new Set<Socket>();

    private constructor(
        private readonly server: Server,
        private readonly answer: SentAnswer,
        private readonly earlierAnswer: SentAnswer | undefined,
    ) {}

    /** Opens a server for an answer; an earlier one, which leaves the connection open, is sent to the first request. */
    static async open(answer: SentAnswer, earlierAnswer?: SentAnswer): Promise<AnswerServer> {
        const server = createServer();
        const opened = new AnswerServer(server, answer, earlierAnswer);
        server.on("connection", (socket) => {
            opened.serve(socket);
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        return opened;
    }

    /** Host and port. */
    get address(): string {
        return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
    }

    /** Closes the server and its connections. */
    close(): void {
        this.server.close();
        this.sockets.forEach((socket) => socket.destroy());
    }

    private serve(socket: Socket): void {
        let { earlierAnswer } = this;
        let received = "";
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", (chunk) => {
            received += chunk.toString("latin1");
            if (earlierAnswer === undefined && this.answer.isEarly === true) {
                socket.pause();
                this.send(socket);
            }
            else if (isWholeRequest(received)) {
                received = "";
                if (earlierAnswer === undefined) {
                    this.send(socket);
                }
                else {
                    socket.write(earlierAnswer.bytes);
                    earlierAnswer = undefined;
                }
            }
        });
    }

    private send(socket: Socket): void {
        socket.write(this.answer.bytes);
        endings[this.answer.ending](socket);
    }
}

function isWholeRequest(received: string): boolean {
    const [head = "", body] = received.split(/\r\n\r\n(.*)/s, 2);
    return body !== undefined && body.length >= Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
}
