/*
 * Message by which entries divide the accounts' budgets: the demand of each
 * account and pool at the sender, as changes since a snapshot that the
 * receiver has.
 */

const LIMITS_CELLS_MAX = 2048;

struct limits_cell {
	unsigned int key;	/* hash of the account's or pool's name */
	unsigned int codes;	/* three demands on a logarithmic scale */
};

struct limits_message {
	unsigned hyper boot;		/* of the sender */
	unsigned int snapshot;		/* number of the sender's snapshot */
	unsigned int base_snapshot;	/* cells changed since; 0: all cells */
	unsigned hyper acked_boot;	/* receiver's boot, if known */
	unsigned int acked_snapshot;	/* receiver's snapshot received */
	unsigned hyper ids_digest;	/* of the ids of all entries */
	unsigned hyper contact_bits;	/* bit i: recent contact with i-th id */
	limits_cell cells<LIMITS_CELLS_MAX>;
};
