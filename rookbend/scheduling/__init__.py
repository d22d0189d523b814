"""Background work: jobs with priorities, within budgets. `plan` decides; `net/background.py` runs them."""
