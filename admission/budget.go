package admission

const (
	// DefaultRetryPercent is the retry budget, in percent of its first attempts, of an account that configures none.
	DefaultRetryPercent = 10
	// maxSavedRetries is the number of retries that an account starts with and can save up. It lets accounts with few
	// requests retry at all.
	maxSavedRetries = 10
)

// Budgets holds the retry budgets of the client accounts. Without a limit, retries would multiply the load just when
// endpoints are overloaded.
type Budgets struct {
	// tokens holds the retries left by account; accounts without an entry have maxSavedRetries.
	tokens map[string]float64
}

// NewBudgets returns budgets that are full for every account.
func NewBudgets() *Budgets { return &Budgets{tokens: map[string]float64{}} }

// balance returns the number of retries that the account has left.
func (b *Budgets) balance(account string) float64 {
	if tokens, ok := b.tokens[account]; ok {
		return tokens
	}
	return maxSavedRetries
}

// First counts a first attempt of the account, which adds percent/100 of a retry to its budget. A percent of 0 or less
// stands for DefaultRetryPercent.
func (b *Budgets) First(account string, percent int) {
	if percent <= 0 {
		percent = DefaultRetryPercent
	}
	b.tokens[account] = min(maxSavedRetries, b.balance(account)+float64(percent)/100)
}

// Retry takes one retry from the account's budget and reports whether there was one.
func (b *Budgets) Retry(account string) bool {
	tokens := b.balance(account)
	if tokens < 1 {
		return false
	}
	b.tokens[account] = tokens - 1
	return true
}
