"""Which exchanges there are: from a registry's keys to the list that the module is told. No I/O, no clock."""
