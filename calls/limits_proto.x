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
	unsigned int number;		/* of the sender's demand */
	unsigned int base;		/* cells changed since; 0: all cells */
	unsigned hyper have_boot;	/* the receiver, as the sender knows it */
	unsigned int have;		/* number of its demand held */
	unsigned hyper known;	/* digest of the ids of all entries, sorted */
	unsigned hyper heard;	/* bit i: the i-th of them was heard lately */
	limits_cell cells<LIMITS_CELLS_MAX>;
};
