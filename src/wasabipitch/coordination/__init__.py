"""The store that outlives every host, and what hosts tell each other through it."""
