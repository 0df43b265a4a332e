"""Client accounts: who a caller is, and how much the account may run."""
