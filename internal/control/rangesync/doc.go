// Package rangesync finds the differences between two replicas by range-based set reconciliation (Meyer, "Range-Based
// Set Reconciliation", 2023), in few messages of bounded size. One replica is the initiator, the other the responder.
// At the end of a session, the initiator has received every entry that it lacked and the responder had.
//
// Each side keeps an Index of its keys with their fingerprints. The initiator sends the summary (count and digest) of a
// range of keys. If the responder's summary differs, the responder splits the range into parts of about equal count and
// replies with their summaries. The initiator continues with the parts that differ, until they are so small that the
// responder sends their entries. Equal sets cost one small message in each direction, whatever their size;
// d differences among n keys cost about d log n digests.
//
// Replicas usually differ in their latest changes. An Index therefore keeps a history of its latest changes, from which
// its earlier summaries can be computed. If the summary of one side equals an earlier summary of the other, only the
// changes since then are sent, or no entries at all.
//
// Correctness. Both sides may change during a session. A range is completed only if the responder's summary equals the
// current or an earlier summary of the initiator, or if all entries of the range have been sent. At the end of a
// session, the initiator therefore has every entry that the responder had unchanged throughout the session;
// docs/rangesync.md has the argument. It requires that the entries of a replica never revert to an earlier state, which
// holds for the registers of package quorum. Entries that change during a session may be sent redundantly or not at
// all.
//
// The package does no I/O and does not block.
package rangesync
