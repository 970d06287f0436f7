"""The agent role: admits requests to its one upstream and keeps the weights live there.

Only the agent knows exactly which requests are in flight on its upstream.  It refuses work while it
is leaving, checks the live version before it runs a request, and answers over msgpack streams.
"""
