"""The call agent in service on the platform: configuration, connections and signals put together."""
