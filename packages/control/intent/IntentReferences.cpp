/** Reports all violations with the JSON pointers of the fields concerned. */
#include "control/intent/IntentReferences.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace boragetrack::control::intent {

using core::findings::FindingList;

namespace {

std::string fieldPointer(const char *list, std::size_t index, const char *field)
{
    return std::string("/") + list + "/" + std::to_string(index) + "/" + field;
}

// Adds a finding for each element that has the same key as an earlier one.
template <typename Element, typename KeyOf>
void checkUnique(const std::vector<Element> &elements, const char *list, const char *field,
                 KeyOf keyOf, FindingList &findings)
{
    std::unordered_set<std::string> seen;
    seen.reserve(elements.size());
    for (std::size_t i = 0; i < elements.size(); ++i) {
        const std::string key = keyOf(elements[i]);
        if (!seen.insert(key).second)
            findings.add(fieldPointer(list, i, field), "'" + key + "' appears twice");
    }
}

template <typename Element, typename Name>
bool isListed(const std::vector<Element> &elements, const Name &name)
{
    return std::any_of(elements.begin(), elements.end(),
                       [&](const Element &element) { return element.name == name; });
}

void checkNames(const IntentDocument &document, FindingList &findings)
{
    const auto nameOf = [](const auto &element) { return element.name.value(); };
    const auto idOf = [](const auto &element) { return element.id; };
    const auto prefixOf = [](const Route &route) { return route.host + route.pathPrefix; };
    checkUnique(document.dataCentres, "dataCentres", "name", nameOf, findings);
    checkUnique(document.services, "services", "name", nameOf, findings);
    checkUnique(document.routes, "routes", "name", nameOf, findings);
    checkUnique(document.routes, "routes", "pathPrefix", prefixOf, findings);
    checkUnique(document.exceptions, "exceptions", "id", idOf, findings);
    checkUnique(document.moves, "moves", "id", idOf, findings);
}

void checkRoutes(const IntentDocument &document, FindingList &findings)
{
    for (std::size_t i = 0; i < document.routes.size(); ++i) {
        const Route &route = document.routes[i];
        if (route.split.empty() && !isListed(document.services, route.service))
            findings.add(fieldPointer("routes", i, "service"),
                         "unknown service '" + route.service.value() + "'");
        for (const WeightedService &part : route.split) {
            if (!isListed(document.services, part.service))
                findings.add(fieldPointer("routes", i, "split"),
                             "unknown service '" + part.service.value() + "'");
        }
    }
}

void checkScopes(const IntentDocument &document, FindingList &findings)
{
    for (std::size_t i = 0; i < document.exceptions.size(); ++i) {
        const ExceptionScope &scope = document.exceptions[i].scope;
        if (!scope.service.isEmpty() && !isListed(document.services, scope.service))
            findings.add(fieldPointer("exceptions", i, "scope/service"),
                         "unknown service '" + scope.service.value() + "'");
        if (!scope.route.isEmpty() && !isListed(document.routes, scope.route))
            findings.add(fieldPointer("exceptions", i, "scope/route"),
                         "unknown route '" + scope.route.value() + "'");
        if (!scope.dataCentre.isEmpty() && !isListed(document.dataCentres, scope.dataCentre))
            findings.add(fieldPointer("exceptions", i, "scope/dataCentre"),
                         "unknown data centre '" + scope.dataCentre.value() + "'");
    }
}

void checkMoves(const IntentDocument &document, FindingList &findings)
{
    std::set<std::string> running;
    for (std::size_t i = 0; i < document.moves.size(); ++i) {
        const MoveIntent &move = document.moves[i];
        if (!isListed(document.services, move.service))
            findings.add(fieldPointer("moves", i, "service"),
                         "unknown service '" + move.service.value() + "'");
        if (move.state == MoveState::Running && !running.insert(move.service.value()).second)
            findings.add(fieldPointer("moves", i, "service"),
                         "'" + move.service.value() + "' already has a running move");
    }
}

// Names the positions of both keys and neither the key nor its digest: findings are logged.
void checkKeys(const std::vector<Organisation> &organisations, FindingList &findings)
{
    std::unordered_map<KeyDigest, std::string> seen;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        for (std::size_t j = 0; j < organisations[i].keys.size(); ++j) {
            const std::string pointer
                    = fieldPointer("organisations", i, "keys") + "/" + std::to_string(j);
            const auto [earlier, isNew] = seen.emplace(organisations[i].keys[j], pointer);
            if (!isNew)
                findings.add(pointer, "the same key as " + earlier->second);
        }
    }
}

void checkOrganisations(const IntentDocument &document, FindingList &findings)
{
    if (!document.organisations)
        return;
    const std::vector<Organisation> &organisations = *document.organisations;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        if (organisations[i].name.value().empty())
            findings.add(fieldPointer("organisations", i, "name"), "must not be empty");
    }
    const auto nameOf = [](const Organisation &each) { return each.name.value(); };
    checkUnique(organisations, "organisations", "name", nameOf, findings);
    checkKeys(organisations, findings);
}

} // namespace

void checkReferences(const IntentDocument &document, FindingList &findings)
{
    checkNames(document, findings);
    checkRoutes(document, findings);
    checkScopes(document, findings);
    checkMoves(document, findings);
    checkOrganisations(document, findings);
}

} // namespace boragetrack::control::intent
