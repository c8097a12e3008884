/**
 * Returns replies to a peer's message in the HTTP response to it, which saves a separate exchange per reply.
 */

/** Collects the messages sent to a peer while a message from that peer is being handled. */
export class ReplyCollector<Message> {
    private current: { readonly to: string; readonly replies: Message[]; } | undefined;

    /**
     * Handles a message and collects what is sent to its sender in the meantime.
     * @param from - the sender
     * @param handle - handles the message synchronously
     * @returns the replies
     */
    collect(from: string, handle: () => void): readonly Message[] {
        const replies: Message[] = [];
        this.current = { to: from, replies };
        try {
            handle();
        }
        finally {
            this.current = undefined;
        }
        return replies;
    }

    /**
     * Takes over a message that is about to be sent, if its recipient's message is being handled.
     * @param to - its recipient
     * @param message - the message
     * @returns false if it has to be sent in an exchange of its own
     */
    tryCollect(to: string, message: Message): boolean {
        if (this.current?.to !== to) {
            return false;
        }
        this.current.replies.push(message);
        return true;
    }
}
