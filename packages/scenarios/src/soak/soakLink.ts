/**
 * The link between entries and one plain service: one proxy whose two directions misbehave together or apart.
 */
import { Link, LinkProxy, type LinkState } from "./linkProxy.js";

/** What happens on the link; the target is the service. */
export type SoakLinkState =
    | { readonly kind: "sound"; }
    | { readonly kind: "delayed"; readonly delayMs: number; }
    /** Bytes towards the target arrive; those that come back are lost. */
    | { readonly kind: "one-way"; }
    /** Nothing arrives, and nobody is told. */
    | { readonly kind: "silent"; };

/** A link that all entries share. */
export class SoakLink {
    private constructor(
        private readonly proxy: LinkProxy,
        private readonly toTarget: Link,
        private readonly fromTarget: Link,
    ) {}

    /**
     * Opens a link.
     * @param target - host and port of the service
     * @returns the link, once its proxy listens
     */
    static async open(target: string): Promise<SoakLink> {
        const [toTarget, fromTarget] = [new Link(), new Link()];
        const proxy = await LinkProxy.open({ target, getLinks: () => ({ toTarget, fromTarget }) });
        return new SoakLink(proxy, toTarget, fromTarget);
    }

    /** Where entries reach the service. */
    get address(): string {
        return this.proxy.address;
    }

    /**
     * Changes what happens to bytes from now on.
     * @param state - the new state
     */
    setLink(state: SoakLinkState): void {
        const dropped: LinkState = { kind: "dropped" };
        switch (state.kind) {
            case "sound":
            case "delayed":
                this.toTarget.setState(state);
                this.fromTarget.setState(state);
                return;
            case "one-way":
                this.toTarget.setState({ kind: "sound" });
                this.fromTarget.setState(dropped);
                return;
            case "silent":
                this.toTarget.setState(dropped);
                this.fromTarget.setState(dropped);
        }
    }

    /** Resets all open connections. */
    reset(): void {
        this.proxy.reset();
    }

    /** Closes the proxy and all its connections. */
    close(): void {
        this.proxy.close();
    }
}
