/**
 * Functions of the operator CLI that other tools use.
 * @packageDocumentation
 */
export { formatTable, type TableContent } from "./output.js";
export { formatTimeline, parseEvent, readTimeline, type TimelineEvent, type TimelineFilter } from "./timeline.js";
export { formatTimelineHtml } from "./timelineHtml.js";
