package entry

import (
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
	"sapphirehead/internal/service"
)

func claimMessage(operation service.Operation) *nodepb.ClaimOperation {
	message := &nodepb.ClaimOperation{}
	message.SetKind(int32(operation.Kind()))
	message.SetObject(operation.Place().Object())
	message.SetEpoch(operation.Place().Epoch())
	message.SetId(operation.ID())
	message.SetNonce(operation.Nonce())
	message.SetHolder(operation.Holder())
	message.SetFingerprint(operation.Fingerprint())
	message.SetSupersedes(operation.Supersedes())
	message.SetAnswer(answerMessage(operation.Answer()))
	message.SetOversize(operation.Oversize())
	message.SetAdopt(operation.Adopt())
	return message
}

func operationOf(message *nodepb.ClaimOperation) service.Operation {
	place := service.NewPlace(message.GetObject(), message.GetEpoch())
	operation := service.NewOperation(
		service.OperationKind(message.GetKind()), place, message.GetId(), message.GetNonce(), message.GetHolder(), message.GetFingerprint(),
	).WithSupersedes(message.GetSupersedes()).WithAnswer(answerOf(message.GetAnswer()), message.GetAdopt())
	if message.GetOversize() {
		return operation.WithOversize()
	}
	return operation
}

func verdictMessage(verdict service.Verdict) *nodepb.ClaimVerdict {
	message := &nodepb.ClaimVerdict{}
	message.SetClaim(int32(verdict.Claim()))
	message.SetAnswer(answerMessage(verdict.Answer()))
	message.SetNonce(verdict.Nonce())
	message.SetHolder(verdict.Holder())
	return message
}

func verdictOf(message *nodepb.ClaimVerdict) service.Verdict {
	return service.NewVerdict(request.Claim(message.GetClaim()), answerOf(message.GetAnswer()), message.GetNonce(), message.GetHolder())
}

func answerMessage(answer service.Answer) *nodepb.ClaimAnswer {
	message := &nodepb.ClaimAnswer{}
	message.SetStatus(int32(answer.Status()))
	message.SetContentType(answer.ContentType())
	if len(answer.Body()) > 0 {
		message.SetBody(answer.Body())
	}
	return message
}

func answerOf(message *nodepb.ClaimAnswer) service.Answer {
	return service.NewAnswer(int(message.GetStatus()), message.GetContentType(), message.GetBody())
}
