/**
 * The parts of the operators' command that other tools use.
 * @packageDocumentation
 */
export { formatTable, type TableContent } from "./output.js";
export { formatTimeline, parseEvent, readTimeline, type TimelineEvent, type TimelineFilter } from "./timeline.js";
export { formatTimelineHtml } from "./timelineHtml.js";
