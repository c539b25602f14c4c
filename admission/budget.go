package admission

// Retry budget of an account without a setting of its own, as a share of its first attempts in percent, and the retries
// that an account may save up. The reserve lets an account with few requests retry at all.
const (
	DefaultRetryPercent = 10
	retryReserve        = 10
)

// Budgets holds the retry budgets of the client accounts. Without a bound, retries multiply the load exactly when
// endpoints are short of capacity.
type Budgets struct {
	tokens map[string]float64
}

// NewBudgets returns full budgets.
func NewBudgets() *Budgets { return &Budgets{tokens: map[string]float64{}} }

// balance returns the retries that the account has left.
func (b *Budgets) balance(account string) float64 {
	if tokens, ok := b.tokens[account]; ok {
		return tokens
	}
	return retryReserve
}

// First counts a first attempt of the account, which earns it percent/100 of a retry; 0 stands for the default.
func (b *Budgets) First(account string, percent int) {
	if percent <= 0 {
		percent = DefaultRetryPercent
	}
	b.tokens[account] = min(retryReserve, b.balance(account)+float64(percent)/100)
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
