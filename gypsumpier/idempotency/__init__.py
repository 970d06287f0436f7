"""At-most-once execution of requests that carry an ``Idempotency-Key``.

The home of a key is one slot, a pure function of the document.  The agent in that slot claims
the key in its ledger, runs the request and stores the outcome.  Every copy of a request passes
through an entry, and an entry records a key before it sends it.  An agent that is new in its slot
therefore queries the entries: once each listed entry has reported the keys it has sent and has
promised to send no more of them to another agent, the new agent knows every key that may have
run.  No clock, lease or consensus between agents is involved.  docs/design/at-most-once.md
compares the alternatives and lists the windows in which the guarantee does not hold.
"""
