"""At most once for requests that carry an ``Idempotency-Key``.

The home of a key is one slot, a pure function of the document.  The agent in that slot claims
the key in its ledger, runs the request and remembers the outcome.  Every copy of a request
passes through an entry, and an entry notes a key before it sends it.  An agent that is new in
its slot therefore asks the entries: once each listed entry has reported the keys it has sent and
has promised to send no more of them to another agent, the new agent knows every key that may
have run.  No clock, lease or agreement between agents is involved.  docs/design/at-most-once.md
weighs the alternatives and lists the windows that stay open.
"""
