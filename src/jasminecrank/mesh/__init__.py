"""Node on a single event loop: call path, distribution and quotas.

Each layer imports only the layers after it in this list: transport,
protocol, coordination, state.
"""
