"""The agent role: gates every request into its one upstream and keeps the weights live there.

The agent alone knows exactly what is in flight on its upstream.  It refuses work while it leaves,
checks the live version before it runs a request, and answers over our own streams.
"""
