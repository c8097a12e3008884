import { request } from "undici";

/** Response as seen by a caller. */
export interface ObservedResponse {
    readonly status: number | undefined;
    readonly body: string;
    readonly retryAfter: unknown;
}

/** Sends one request to an entry. */
export async function postToEntry(url: string): Promise<ObservedResponse> {
    try {
        const response = await request(url, { method: "POST", headers: { "x-id": "one" }, body: "b" });
        const body = await response.body.text();
        return { status: response.statusCode, body, retryAfter: response.headers["retry-after"] };
    }
    catch {
        // The stream was aborted.
        return { status: undefined, body: "", retryAfter: undefined };
    }
}
