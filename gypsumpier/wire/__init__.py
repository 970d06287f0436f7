"""Our own streams: framing, connections with heartbeats, dialling and listening.

A frame is one msgpack array.  Control and requests share connections; weights travel on
connections of their own, so that a chunk never delays a heartbeat or a token.
"""
