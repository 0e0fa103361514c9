/*
 * What entries tell each other to divide the accounts' budgets: the demand
 * of each account here, as changes since one that the other one has.
 */

const LIMITS_CELLS_MAX = 2048;

struct limits_cell {
	unsigned int key;	/* hash of the account's or pool's name */
	unsigned int codes;	/* three demands on a logarithmic scale */
};

struct limits_message {
	unsigned hyper boot;		/* of the sender */
	unsigned int snapshot;		/* of the sender's demand */
	unsigned int base_snapshot;		/* cells changed since; 0: all cells */
	unsigned hyper acked_boot;	/* the receiver, as the sender knows it */
	unsigned int acked_snapshot;		/* number of its demand held */
	unsigned hyper ids_digest;	/* digest of the ids of all entries, sorted */
	unsigned hyper contact_bits;	/* bit i: the i-th of them was heard lately */
	limits_cell cells<LIMITS_CELLS_MAX>;
};
