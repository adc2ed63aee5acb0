"""Call keeping that every front of the agent shares: calls, route tries, batches, the guard."""
