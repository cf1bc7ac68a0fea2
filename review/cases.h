/* The cases of the review, by name. */
#ifndef REVIEW_CASES_H
#define REVIEW_CASES_H

typedef struct review_case {
	const char *name;
	void (*start)(void);
	/* 1: the rule was broken; 0: it held; 2: the case could not run */
	int (*judge)(void);
} case_t;

extern const case_t cases[];

#endif
